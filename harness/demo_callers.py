"""Settings of the demo's callers of Kesar Tidewater's two services."""

from collections.abc import Sequence
from typing import Any, Final

from harness.fleet import Fleet

POST_ENTRY: Final[dict[str, Any]] = {
    "name": "post-entry",
    "method": "POST",
    "path": "/entries",
    "body_bytes": 300,
}
ISSUE_CERTIFICATE: Final[dict[str, Any]] = {
    "name": "issue-certificate",
    "method": "POST",
    "path": "/certificates",
    "body_bytes": 300,
}


def upload(size: int) -> dict[str, Any]:
    """Return the settings of an upload of ``size`` bytes."""
    return {
        "name": "bulk-upload",
        "method": "POST",
        "path": "/uploads",
        "body_bytes": size,
    }


def ledger_callers(
    fleet: Fleet, callers: int, requests: Sequence[dict[str, Any]]
) -> dict[str, Any]:
    """Return settings for callers of the stock ledger, each with an open board."""
    return {
        "address": str(fleet.service_addresses["stock-ledger"]),
        "callers": callers,
        "board": "/board",
        "requests": list(requests),
    }


def desk_callers(
    fleet: Fleet, callers: int, requests: Sequence[dict[str, Any]]
) -> dict[str, Any]:
    """Return settings for callers of the certificate desk."""
    return {
        "address": str(fleet.service_addresses["certificate-desk"]),
        "callers": callers,
        "requests": list(requests),
    }

"""Settings of the callers in the demo: Kesar Tidewater's two services."""

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
    """Return an upload of so many bytes."""
    return {
        "name": "bulk-upload",
        "method": "POST",
        "path": "/uploads",
        "body_bytes": size,
    }


def ledger_callers(
    fleet: Fleet, callers: int, requests: Sequence[dict[str, Any]]
) -> dict[str, Any]:
    """Return callers of the stock ledger, who keep a board open each."""
    return {
        "address": str(fleet.service_addresses["stock-ledger"]),
        "callers": callers,
        "board": "/board",
        "requests": list(requests),
    }


def desk_callers(
    fleet: Fleet, callers: int, requests: Sequence[dict[str, Any]]
) -> dict[str, Any]:
    """Return callers of the certificate desk."""
    return {
        "address": str(fleet.service_addresses["certificate-desk"]),
        "callers": callers,
        "requests": list(requests),
    }

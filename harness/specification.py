"""Specifications of fleets, including those of the two users."""

from typing import Any, Final

import attrs


@attrs.frozen
class ServiceSpecification:
    """A service of a fleet: its request classes and its backend servers."""

    name: str
    classes: tuple[dict[str, Any], ...]
    endpoints: int
    slots: int
    connections: int = 2_000


@attrs.frozen
class FleetSpecification:
    """A fleet: availability zones, balancers and services."""

    zones: tuple[str, ...]
    balancers: int
    services: tuple[ServiceSpecification, ...]


def _class(
    name: str,
    method: str,
    path: str,
    within: str,
    run_once: bool = False,
    stream: bool = False,
) -> dict[str, Any]:
    """Return a request class in the form of the configuration document."""
    return {
        "name": name,
        "method": method,
        "path": path,
        "run_once": run_once,
        "stream": stream,
        "target": {"within": within, "share": 0.99},
    }


KESAR_TIDEWATER: Final = FleetSpecification(
    zones=("veraval", "porbandar", "jafrabad"),
    balancers=4,
    services=(
        ServiceSpecification(
            name="stock-ledger",
            classes=(
                _class("post-entry", "POST", "/entries", "500 ms", run_once=True),
                _class("read-board", "GET", "/board", "300 ms", stream=True),
                _class("bulk-upload", "POST", "/uploads", "5 s"),
            ),
            endpoints=7,
            slots=5,
        ),
        ServiceSpecification(
            name="certificate-desk",
            classes=(
                _class(
                    "issue-certificate", "POST", "/certificates", "1 s", run_once=True
                ),
                _class("fetch-archive", "GET", "/archive", "10 s"),
            ),
            endpoints=3,
            slots=5,
        ),
    ),
)

EISDICKE_ALPENSEEN: Final = FleetSpecification(
    zones=("achensee", "plansee", "tristacher-see"),
    balancers=4,
    services=(
        ServiceSpecification(
            name="readings",
            classes=(
                _class("fetch-reading", "GET", "/readings", "300 ms"),
                _class("submit-hole", "POST", "/entries", "500 ms", run_once=True),
            ),
            endpoints=7,
            slots=4,
        ),
        ServiceSpecification(
            name="chart-archive",
            classes=(_class("fetch-chart", "GET", "/archive", "10 s"),),
            endpoints=3,
            slots=4,
        ),
    ),
)

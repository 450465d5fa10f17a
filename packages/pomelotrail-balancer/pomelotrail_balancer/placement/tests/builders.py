"""Builders of companion views."""

from datetime import timedelta

from pomelotrail_balancer.placement import CompanionView
from pomelotrail_core.directory import BackendServer, ServerState
from pomelotrail_core.endpoint import Endpoint


def companion(
    number: int,
    occupancy: int = 0,
    slots: int = 4,
    zone: str = "zone-1",
    reported_ms: float | None = 0,
) -> CompanionView:
    """Return a companion view with a load report."""
    endpoint = Endpoint(f"192.0.2.{number}", 8080)
    server = BackendServer(
        identity=f"server-{number}",
        service="ledger",
        endpoint=endpoint,
        zone=zone,
        slots=slots,
        state=ServerState.READY,
        cold_for=timedelta(),
    )
    view = CompanionView(
        server, (endpoint.host, 1), (endpoint.host, 2), 7, endpoint.pack()
    )
    if reported_ms is not None:
        view.record_report(occupancy, 0, timedelta(milliseconds=reported_ms))
    return view

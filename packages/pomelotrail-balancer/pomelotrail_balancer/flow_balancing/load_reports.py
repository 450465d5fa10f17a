"""Load reports of companions, and which of them are believed."""

from pomelotrail_balancer.placement import CompanionView, is_plausible_report
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.offers import OfferReply, Pong

from .const import MILLISECOND


class LoadReports:
    """Records the load that companions report with their replies.

    A report outside the plausible range is counted and not believed; the first one of
    each server is logged. The reply is valid all the same.
    """

    def __init__(self, clock: Clock, log: EventLog, counters: Counters) -> None:
        """Initialize without reports."""
        self._clock = clock
        self._log = log
        self._counters = counters
        self._logged: set[str] = set()

    def record(
        self, companion: CompanionView, reply: OfferReply | Pong, priority: int = 0
    ) -> None:
        """Record the report in a reply; the companion is no longer a suspect.

        ``priority`` is that of the offer.
        """
        companion.is_suspect = False
        wait_ms = reply.wait_ms if isinstance(reply, OfferReply) else None
        if is_plausible_report(
            reply.occupancy, reply.flows, reply.work_ms, wait_ms or 0.0
        ):
            now = self._clock.monotonic()
            companion.record_report(reply.occupancy, reply.flows, now, reply.work_ms)
            if wait_ms is not None:
                companion.record_wait(wait_ms * MILLISECOND, priority, now)
            return
        self._counters.add("reports_implausible")
        identity = companion.server.identity
        if identity not in self._logged:
            self._logged.add(identity)
            self._log.write(
                "companions",
                "implausible_report",
                server=identity,
                occupancy=reply.occupancy,
                flows=reply.flows,
                work_ms=reply.work_ms,
                wait_ms=wait_ms or 0.0,
            )

"""Load reports of companions, and which of them are believed."""

from datetime import timedelta

from pomelotrail_balancer.placement import (
    CompanionView,
    ServerSpeeds,
    is_plausible_report,
)
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.offers import OfferReply, Outcome, Pong

from .const import MILLISECOND


class LoadReports:
    """Records the load that companions report with their replies.

    A report outside the plausible range is counted and not believed; the first one of
    each server is logged. The reply is valid all the same.
    """

    def __init__(
        self, speeds: ServerSpeeds, clock: Clock, log: EventLog, counters: Counters
    ) -> None:
        """Initialize without reports; work times of routes go to ``speeds``."""
        self._speeds = speeds
        self._clock = clock
        self._log = log
        self._counters = counters
        self._logged: set[str] = set()

    def record(
        self,
        companion: CompanionView,
        reply: OfferReply | Pong,
        route: bytes = b"",
        priority: int = 0,
    ) -> None:
        """Record the report in a reply; the companion is no longer a suspect.

        ``route`` is the address of the service whose flow was offered, and ``priority``
        that of the offer.
        """
        companion.is_suspect = False
        wait_ms = reply.wait_ms if isinstance(reply, OfferReply) else None
        if is_plausible_report(
            reply.occupancy,
            reply.flows,
            reply.work_ms,
            reply.concurrency,
            wait_ms or 0.0,
        ):
            now = self._clock.monotonic()
            work_ms = self._record_route_work(companion, reply, route, now)
            companion.record_report(
                reply.occupancy, reply.flows, now, work_ms, reply.concurrency
            )
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
                concurrency=reply.concurrency,
            )

    def _record_route_work(
        self,
        companion: CompanionView,
        reply: OfferReply | Pong,
        route: bytes,
        now: timedelta,
    ) -> float:
        """Record the work time on a route, if reported; return that of all routes."""
        if not _reports_route_work(companion, reply):
            return reply.work_ms
        self._speeds.record(companion, route, reply.work_ms * MILLISECOND, now)
        return companion.average_work_ms(route, reply.work_ms)


def _reports_route_work(companion: CompanionView, reply: OfferReply | Pong) -> bool:
    """Return whether a report has the work time of one slot on the offer's route."""
    return (
        isinstance(reply, OfferReply)
        and reply.outcome is not Outcome.OTHER_SERVICE
        and companion.server.slots <= 1
        and reply.concurrency == 1
        and reply.work_ms > 0
    )

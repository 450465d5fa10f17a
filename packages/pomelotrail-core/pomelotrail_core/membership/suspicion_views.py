"""Aggregate reports into suspicion views and apply views to the roster."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import Configuration
from pomelotrail_core.spread.report_handler import ReportHandler
from pomelotrail_core.spread.spread_pb2 import (
    ReportReply,
    SuspicionReport,
    SuspicionView,
)

from .const import VIEW_INTERVAL_MIN
from .identity import process_id
from .roster import Roster
from .suspicion_counter import Suspicion, SuspicionCounter

_MILLISECOND: Final = timedelta(milliseconds=1)


class SuspicionViewBuilder(ReportHandler):
    """Aggregates reports; provides a view only while this process is a reader."""

    def __init__(
        self,
        name: str,
        counter: SuspicionCounter,
        is_reader: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Build views under the name of this process."""
        self._name = name
        self._counter = counter
        self._is_reader = is_reader
        self._clock = clock
        self._updated_at: timedelta | None = None
        self._suspicion = Suspicion()
        self._sequence = 1

    def handle(self, report: SuspicionReport) -> ReportReply:
        """Record the report of a monitor."""
        refresh = self._counter.record_report(
            report.monitor,
            report.incarnation,
            report.sequence,
            tuple(report.suspected),
        )
        return ReportReply(refresh_milliseconds=refresh // _MILLISECOND)

    def view(self) -> SuspicionView | None:
        """Return the view of this reader; it changes at most every few seconds."""
        if not self._is_reader():
            return None
        now = self._clock.monotonic()
        if self._updated_at is None or now - self._updated_at >= VIEW_INTERVAL_MIN:
            self._updated_at = now
            suspicion = self._counter.suspicion()
            if suspicion != self._suspicion:
                self._suspicion = suspicion
                self._sequence += 1
        return SuspicionView(
            reader=self._name,
            sequence=self._sequence,
            suspected=self._suspicion.suspected,
            zones=self._suspicion.zones,
        )


class RosterSuspicion:
    """Demotes the companions in the roster that the current view suspects."""

    def __init__(
        self, roster: Roster, current: Callable[[], Configuration | None]
    ) -> None:
        """Resolve companion names through the configuration in force."""
        self._roster = roster
        self._current = current

    def apply_view(self, view: SuspicionView | None) -> None:
        """Demote exactly the companions that the view suspects; none without a view."""
        configuration = self._current()
        if view is None or configuration is None:
            self._roster.set_suspected(frozenset())
            return
        self._roster.set_suspected(_suspected_names(view, configuration))


def _suspected_names(
    view: SuspicionView, configuration: Configuration
) -> frozenset[str]:
    """Return the names of the companions that a view suspects."""
    suspected, numbers = set(view.suspected), set(view.zones)
    if not suspected and not numbers:
        return frozenset()
    zones = {zone.name for zone in configuration.zones if zone.number in numbers}
    return frozenset(
        server.name
        for service in configuration.services
        for server in service.backend_servers
        if server.zone in zones or process_id(server.name) in suspected
    )

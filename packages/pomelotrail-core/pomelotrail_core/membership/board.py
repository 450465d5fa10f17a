"""Turns reports into the view of a reader, and views into suspicion."""

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import Configuration
from pomelotrail_core.spread.report_taker import ReportHandler
from pomelotrail_core.spread.spread_pb2 import (
    ReportReply,
    SuspicionReport,
    SuspicionView,
)

from .const import VIEW_PAUSE
from .identity import process_id
from .roster import Roster
from .tally import Suspicion, Tally

_MILLISECOND: Final = timedelta(milliseconds=1)


class ReaderBoard(ReportHandler):
    """Counts reports; gives a view only while this process is a reader."""

    def __init__(
        self, name: str, tally: Tally, is_reader: Callable[[], bool], clock: Clock
    ) -> None:
        """Give views in the name of this process."""
        self._name = name
        self._tally = tally
        self._is_reader = is_reader
        self._clock = clock
        self._counted_at: timedelta | None = None
        self._suspicion = Suspicion()
        self._sequence = 1

    def handle(self, report: SuspicionReport) -> ReportReply:
        """Count the report of one monitor."""
        refresh = self._tally.take(
            report.monitor,
            report.incarnation,
            report.sequence,
            tuple(report.suspected),
        )
        return ReportReply(refresh_milliseconds=refresh // _MILLISECOND)

    def view(self) -> SuspicionView | None:
        """Return the view of this reader; it changes every few seconds at most."""
        if not self._is_reader():
            return None
        now = self._clock.monotonic()
        if self._counted_at is None or now - self._counted_at >= VIEW_PAUSE:
            self._counted_at = now
            suspicion = self._tally.suspicion()
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
    """Demotes in the roster what the view in force suspects."""

    def __init__(
        self, roster: Roster, current: Callable[[], Configuration | None]
    ) -> None:
        """Name companions by the configuration in force."""
        self._roster = roster
        self._current = current

    def take(self, view: SuspicionView | None) -> None:
        """Demote exactly what the view suspects; nothing without a view."""
        configuration = self._current()
        if view is None or configuration is None:
            self._roster.suspect(frozenset())
            return
        self._roster.suspect(_names(view, configuration))


def _names(view: SuspicionView, configuration: Configuration) -> frozenset[str]:
    """Return the names that the identifiers of a view stand for."""
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

"""What the readers make of the reports of the monitors."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import Configuration

from .const import (
    MAX_SUSPECTED,
    MONITORS,
    REPORT_KEPT_FOR,
    REPORT_REFRESH_MIN,
    REPORTS_PER_S,
    ZONE_SHARE,
)
from .identity import process_id


@attrs.frozen
class Suspicion:
    """Companions suspected one by one, and zones suspected as a whole."""

    suspected: tuple[int, ...] = ()
    zones: tuple[int, ...] = ()


@attrs.frozen
class _Report:
    """The last report of one monitor."""

    sequence: int
    incarnation: int
    suspected: tuple[int, ...]
    until: timedelta


class Tally:
    """Suspects a companion when most of its monitors do.

    What it gives is bounded: beyond ``MAX_SUSPECTED`` companions, a zone of
    which most companions are suspected is one number.
    """

    def __init__(
        self, clock: Clock, current: Callable[[], Configuration | None]
    ) -> None:
        """Count for the configuration in force."""
        self._clock = clock
        self._current = current
        self._reports: dict[str, _Report] = {}
        self._zones_of: tuple[int, dict[int, int]] = (0, {})

    def take(
        self, monitor: str, incarnation: int, sequence: int, suspected: tuple[int, ...]
    ) -> timedelta:
        """Take a report; return when the monitor should repeat it.

        The more monitors report, the more seldom each has to, so that a zone
        that fails does not flood its readers.
        """
        now = self._clock.monotonic()
        known = self._reports.get(monitor)
        refresh = max(
            REPORT_REFRESH_MIN, timedelta(seconds=len(self._reports) / REPORTS_PER_S)
        )
        is_late = known is not None and (
            known.incarnation == incarnation and sequence <= known.sequence
        )
        if not is_late:
            until = now + REPORT_KEPT_FOR * refresh
            self._reports[monitor] = _Report(sequence, incarnation, suspected, until)
        return refresh

    def suspicion(self) -> Suspicion:
        """Return what most monitors suspect now."""
        self._expire()
        configuration = self._current()
        if configuration is None or not self._reports:
            return Suspicion()
        quorum = min(MONITORS, max(len(configuration.balancers), 1)) // 2 + 1
        votes = Counter(
            each for report in self._reports.values() for each in report.suspected
        )
        chosen = sorted(each for each, count in votes.items() if count >= quorum)
        if len(chosen) <= MAX_SUSPECTED:
            return Suspicion(tuple(chosen))
        return self._bounded(chosen, configuration)

    def _bounded(self, chosen: list[int], configuration: Configuration) -> Suspicion:
        """Name zones instead of the companions in them."""
        zone_of = self._zones(configuration)
        sizes = Counter(zone_of.values())
        suspected = Counter(zone_of[each] for each in chosen if each in zone_of)
        zones = tuple(
            sorted(
                zone
                for zone, count in suspected.items()
                if count >= ZONE_SHARE * sizes[zone]
            )
        )
        rest = [each for each in chosen if zone_of.get(each) not in zones]
        return Suspicion(tuple(rest[:MAX_SUSPECTED]), zones)

    def _zones(self, configuration: Configuration) -> dict[int, int]:
        """Return the zone number of each companion."""
        if self._zones_of[0] != configuration.version:
            numbers = {zone.name: zone.number for zone in configuration.zones}
            zones = {
                process_id(server.name): numbers[server.zone]
                for service in configuration.services
                for server in service.backend_servers
            }
            self._zones_of = (configuration.version, zones)
        return self._zones_of[1]

    def _expire(self) -> None:
        """Drop the reports of monitors that have not repeated them."""
        now = self._clock.monotonic()
        self._reports = {
            monitor: report
            for monitor, report in self._reports.items()
            if report.until > now
        }

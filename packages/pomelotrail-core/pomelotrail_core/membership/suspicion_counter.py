"""Aggregation of monitor reports at a reader."""

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import Configuration

from .const import (
    MAX_SUSPECTED,
    MONITORS_PER_COMPANION,
    REPORT_EXPIRY_REFRESHES,
    REPORT_REFRESH_MIN,
    REPORTS_PER_S,
    ZONE_SUSPICION_SHARE,
)
from .identity import process_id


@attrs.frozen
class Suspicion:
    """Individually suspected companions, and zones suspected as a whole."""

    suspected: tuple[int, ...] = ()
    zones: tuple[int, ...] = ()


@attrs.frozen
class _Report:
    """The latest report of a monitor."""

    sequence: int
    incarnation: int
    suspected: tuple[int, ...]
    expires_at: timedelta


class SuspicionCounter:
    """Suspects a companion when the majority of its monitors do.

    The result is bounded: beyond ``MAX_SUSPECTED`` companions, a zone in which
    most companions are suspected is represented by one number.
    """

    def __init__(
        self, clock: Clock, current: Callable[[], Configuration | None]
    ) -> None:
        """Initialize the counter for the configuration in force."""
        self._clock = clock
        self._current = current
        self._reports: dict[str, _Report] = {}
        self._zones_of: tuple[int, dict[int, int]] = (0, {})

    def record_report(
        self, monitor: str, incarnation: int, sequence: int, suspected: tuple[int, ...]
    ) -> timedelta:
        """Record a report; return the interval after which to repeat it.

        The interval grows with the number of reporting monitors, so that a zone
        failure does not flood the readers.
        """
        now = self._clock.monotonic()
        previous = self._reports.get(monitor)
        refresh = max(
            REPORT_REFRESH_MIN, timedelta(seconds=len(self._reports) / REPORTS_PER_S)
        )
        is_stale = previous is not None and (
            previous.incarnation == incarnation and sequence <= previous.sequence
        )
        if not is_stale:
            expires_at = now + REPORT_EXPIRY_REFRESHES * refresh
            self._reports[monitor] = _Report(
                sequence, incarnation, suspected, expires_at
            )
        return refresh

    def suspicion(self) -> Suspicion:
        """Return what the majority of monitors suspects."""
        self._expire()
        configuration = self._current()
        if configuration is None or not self._reports:
            return Suspicion()
        quorum = (
            min(MONITORS_PER_COMPANION, max(len(configuration.balancers), 1)) // 2 + 1
        )
        votes = Counter(
            each for report in self._reports.values() for each in report.suspected
        )
        suspected = sorted(each for each, count in votes.items() if count >= quorum)
        if len(suspected) <= MAX_SUSPECTED:
            return Suspicion(tuple(suspected))
        return self._bounded(suspected, configuration)

    def _bounded(
        self, suspected_ids: list[int], configuration: Configuration
    ) -> Suspicion:
        """Replace companions by their zones where most of a zone is suspected."""
        zone_of = self._zones(configuration)
        sizes = Counter(zone_of.values())
        suspected = Counter(zone_of[each] for each in suspected_ids if each in zone_of)
        zones = tuple(
            sorted(
                zone
                for zone, count in suspected.items()
                if count >= ZONE_SUSPICION_SHARE * sizes[zone]
            )
        )
        rest = [each for each in suspected_ids if zone_of.get(each) not in zones]
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
        """Remove expired reports."""
        now = self._clock.monotonic()
        self._reports = {
            monitor: report
            for monitor, report in self._reports.items()
            if report.expires_at > now
        }

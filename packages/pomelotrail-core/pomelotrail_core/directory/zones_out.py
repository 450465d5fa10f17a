"""Availability zones that are out of service."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from pomelotrail_core.clock import Clock

from .change_log import ChangeLog
from .revision import Revision


class _Contest(msgspec.Struct, frozen=True):
    """The entry that a restored source has of a zone, if any, and when it applies."""

    listed: Revision | None
    deadline: timedelta


class ZonesOut:
    """The zones out of service, as the entries of the source say.

    A restored source may lack an entry, or have one whose removal was read before. Such
    a zone is contested: what was known stays in force until the operators write it
    again or a deadline passes::

        zones.contest(listed, missing_until=now + long, ended_until=now + short)
        zones.replace(listed)
    """

    def __init__(self, clock: Clock, log: ChangeLog) -> None:
        """Initialize with all zones in service."""
        self._clock = clock
        self._log = log
        self._entries: dict[str, Revision] = {}
        self._ended: dict[str, Revision] = {}
        self._contests: dict[str, _Contest] = {}

    @property
    def names(self) -> frozenset[str]:
        """Return the zones out of service."""
        self._apply_overdue()
        return frozenset(self._entries)

    def take_out(self, zone: str, revision: Revision) -> None:
        """Record the entry of a zone."""
        was_contested = self._contests.pop(zone, None) is not None
        was_in_service = zone not in self._entries
        self._entries[zone] = revision
        if was_in_service:
            self._log.record_change("zone_out", zone=zone)
        elif was_contested:
            self._log.write("zone_confirmed", zone=zone, is_out=True)

    def restore(self, zone: str) -> None:
        """Record that a zone has no entry."""
        was_contested = self._contests.pop(zone, None) is not None
        if zone in self._entries:
            self._ended[zone] = self._entries.pop(zone)
            self._log.record_change("zone_back", zone=zone)
        elif was_contested:
            self._log.write("zone_confirmed", zone=zone, is_out=False)

    def contest(
        self,
        listed: Mapping[str, Revision],
        missing_until: timedelta,
        ended_until: timedelta,
    ) -> None:
        """Contest the zones of which a restored source says something else.

        A zone whose entry is missing stays out until ``missing_until``, and one whose
        entry had been removed stays in service until ``ended_until``.
        """
        for zone in self._entries.keys() - listed.keys():
            self._contests[zone] = _Contest(None, missing_until)
        for zone in listed.keys() - self._entries.keys():
            ended = self._ended.get(zone)
            if ended is not None and ended.number == listed[zone].number:
                self._contests[zone] = _Contest(listed[zone], ended_until)

    def replace(self, listed: Mapping[str, Revision]) -> None:
        """Apply the entries of a full listing, except to contested zones."""
        for zone in sorted({*self._entries, *listed, *self._contests}):
            contest = self._contests.get(zone)
            if contest is not None and contest.listed == listed.get(zone):
                is_out = zone in self._entries
                self._log.write("zone_contested", zone=zone, is_out=is_out)
            elif zone in listed:
                self.take_out(zone, listed[zone])
            else:
                self.restore(zone)

    def _apply_overdue(self) -> None:
        """Apply what a restored source says of zones, as nothing else was written."""
        now = self._clock.monotonic()
        for zone, contest in list(self._contests.items()):
            if now < contest.deadline:
                continue
            if contest.listed is None:
                self.restore(zone)
            else:
                self.take_out(zone, contest.listed)

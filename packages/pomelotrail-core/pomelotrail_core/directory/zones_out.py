"""Availability zones that are out of service."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from .revision import Revision


class _Contest(msgspec.Struct, frozen=True):
    """The entry that a restored source has of a zone, if any, and when it applies."""

    listed: Revision | None
    deadline: timedelta


class ZonesOut:
    """The zones out of service, as the entries of the source say.

    A restored source may lack an entry, or have one whose removal was read before. What
    was known stays in force until the operators write it again or the deadline passes::

        zones.reconcile(listed, missing_until=now + long, ended_until=now + short)
        ...
        for zone, revision in zones.pop_overdue(now):
            ...
    """

    def __init__(self) -> None:
        """Initialize with all zones in service."""
        self._entries: dict[str, Revision] = {}
        self._ended: dict[str, Revision] = {}
        self._contests: dict[str, _Contest] = {}

    @property
    def names(self) -> frozenset[str]:
        """Return the zones out of service."""
        return frozenset(self._entries)

    def add(self, zone: str, revision: Revision) -> bool:
        """Record the entry of a zone; return whether the zone was in service."""
        self._contests.pop(zone, None)
        was_in_service = zone not in self._entries
        self._entries[zone] = revision
        return was_in_service

    def remove(self, zone: str) -> bool:
        """Record that a zone has no entry; return whether it was out of service."""
        self._contests.pop(zone, None)
        if zone not in self._entries:
            return False
        self._ended[zone] = self._entries.pop(zone)
        return True

    def forget_settled(self, listed: Mapping[str, Revision]) -> None:
        """Forget contests about entries that were written or removed since."""
        self._contests = {
            zone: contest
            for zone, contest in self._contests.items()
            if listed.get(zone) == contest.listed
        }

    def reconcile(
        self,
        listed: Mapping[str, Revision],
        missing_until: timedelta,
        ended_until: timedelta,
    ) -> None:
        """Keep what was known where the listing of a restored source contradicts it.

        A zone whose entry is missing stays out until ``missing_until``, and one whose
        entry had been removed stays in service until ``ended_until``.
        """
        for zone in self._entries.keys() - listed.keys():
            self._contests[zone] = _Contest(None, missing_until)
        for zone in listed.keys() - self._entries.keys():
            ended = self._ended.get(zone)
            if ended is not None and ended.number == listed[zone].number:
                self._contests[zone] = _Contest(listed[zone], ended_until)

    def is_contested(self, zone: str) -> bool:
        """Return whether what was known of a zone contradicts a restored source."""
        return zone in self._contests

    def pop_overdue(self, now: timedelta) -> list[tuple[str, Revision | None]]:
        """Return the contested zones past their deadline, with their listed entries."""
        overdue = [
            (zone, contest.listed)
            for zone, contest in self._contests.items()
            if now >= contest.deadline
        ]
        for zone, _ in overdue:
            del self._contests[zone]
        return overdue

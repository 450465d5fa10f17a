"""Distribution tree: readers of the service and parents of each process.

In each availability zone the processes are ordered by the hash of their name.
The first few read the service; each following tier is ``FAN_OUT`` times as
large. A process has one parent in the tier above of its own zone and one in
the tier above of another zone, both chosen by rendezvous hashing, so a process
that joins or leaves changes the parents of few others. Parents are always in a lower
tier, so there is no cycle below the readers.
"""

import random
from collections.abc import Iterable, Sequence
from typing import Final, TypeAlias

import xxhash

from pomelotrail_core.configuration import BackendServer, Balancer, Configuration

from .const import CANDIDATES_PER_TIER, FAN_OUT, READERS_PER_ZONE

Member: TypeAlias = Balancer | BackendServer

_OWN_ZONE_SLOT: Final = 0


class SpreadTree:
    """Position of every process, derived from the configuration alone."""

    def __init__(self, configuration: Configuration) -> None:
        """Group the processes by availability zone."""
        self._zones: dict[str, list[Member]] = {}
        self._ordered: dict[str, list[Member]] = {}
        for member in _members(configuration):
            self._zones.setdefault(member.zone, []).append(member)

    @property
    def size(self) -> int:
        """Return the number of processes."""
        return sum(len(members) for members in self._zones.values())

    @property
    def zones(self) -> tuple[str, ...]:
        """Return the zones that have processes."""
        return tuple(self._zones)

    def readers(self, zone: str) -> list[Member]:
        """Return the readers of a zone in order of preference."""
        return self._order(zone)[:READERS_PER_ZONE]

    def is_reader(self, name: str, zone: str) -> bool:
        """Return whether a process watches the configuration service."""
        return any(reader.name == name for reader in self.readers(zone))

    def tier(self, name: str, zone: str) -> int:
        """Return the tier of a process; 0 for readers."""
        order = self._order(zone)
        index = next(
            (position for position, each in enumerate(order) if each.name == name),
            len(order),
        )
        tier, end, size = 0, READERS_PER_ZONE, READERS_PER_ZONE
        while index >= end:
            size *= FAN_OUT
            end += size
            tier += 1
        return tier

    def parents(self, name: str, zone: str, slot: int) -> list[Member]:
        """Return the candidates for one of the two parents, best first."""
        tier = self.tier(name, zone)
        others = _ranked_names(name, [each for each in self._zones if each != zone])
        if tier == 0:
            return self._parents_of_reader(name, zone, others, slot)
        own = self._tier_candidates(name, zone, tier - 1)
        if not others:
            return own[slot:] + own[:slot]
        first = self._tier_candidates(name, others[0], tier - 1)
        if slot == _OWN_ZONE_SLOT:
            return _unique([*own, *self.readers(zone), *first])
        further = [reader for each in others for reader in self.readers(each)[:1]]
        return _unique([*first, *further, *own])

    def random_members(self, name: str, rng: random.Random, count: int) -> list[Member]:
        """Return up to ``count`` random members other than ``name``."""
        zones = list(self._zones.values())
        chosen = [rng.choice(rng.choice(zones)) for _ in range(count)]
        return [member for member in _unique(chosen) if member.name != name]

    def _parents_of_reader(
        self, name: str, zone: str, others: list[str], slot: int
    ) -> list[Member]:
        """Return the readers that a reader follows in addition to the service."""
        if slot == _OWN_ZONE_SLOT:
            return [each for each in self.readers(zone) if each.name != name]
        return [
            reader for each in others for reader in _ranked(name, self.readers(each), 1)
        ]

    def _tier_candidates(self, name: str, zone: str, tier: int) -> list[Member]:
        """Return the best members of a tier, or of the nearest tier above with any."""
        members: Sequence[Member] = ()
        while not members and tier >= 0:
            members = self._tier_members(zone, tier)
            tier -= 1
        return _ranked(name, members, CANDIDATES_PER_TIER)

    def _tier_members(self, zone: str, tier: int) -> list[Member]:
        """Return the members of one tier of a zone."""
        start, size = 0, READERS_PER_ZONE
        for _ in range(tier):
            start += size
            size *= FAN_OUT
        return self._order(zone)[start : start + size]

    def _order(self, zone: str) -> list[Member]:
        """Return the members of a zone in the order of the tree."""
        if zone not in self._ordered:
            members = self._zones.get(zone, [])
            self._ordered[zone] = sorted(members, key=lambda each: _hash(each.name))
        return self._ordered[zone]


def _members(configuration: Configuration) -> Iterable[Member]:
    """Yield every process in the configuration."""
    yield from configuration.balancers
    for service in configuration.services:
        yield from service.backend_servers


def _ranked(key: str, members: Iterable[Member], count: int) -> list[Member]:
    """Return the members with the lowest hash for a key."""
    return sorted(members, key=lambda member: _hash(key + member.name))[:count]


def _ranked_names(key: str, names: Iterable[str]) -> list[str]:
    """Return names in rendezvous order for a key."""
    return sorted(names, key=lambda name: _hash(key + name))


def _unique(members: Iterable[Member]) -> list[Member]:
    """Return the members without duplicates, in order."""
    return list({member.name: member for member in members}.values())


def _hash(text: str) -> int:
    """Return the hash that orders members."""
    return xxhash.xxh3_64_intdigest(text.encode())

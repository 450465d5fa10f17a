"""Chooses the companion for a new flow."""

import abc
import random
from collections.abc import Sequence
from datetime import timedelta

import msgspec

from .companion_view import CompanionView
from .const import MAX_REQUESTS_PER_SLOT, OTHER_ZONE_LOAD, OTHERS_ASKED


class Choice(msgspec.Struct, frozen=True):
    """A companion, and how full its backend server may be to take the flow."""

    companion: CompanionView
    limit: int
    load: float


class Situation(msgspec.Struct):
    """Who may be offered a flow, and who declined it before.

    ``preferred`` are a few of the ``candidates``. ``declined`` had no free slot
    or no answer; ``full`` declined a place in their queue too.
    """

    preferred: Sequence[CompanionView]
    candidates: Sequence[CompanionView]
    declined: list[CompanionView] = msgspec.field(default_factory=list)
    full: list[CompanionView] = msgspec.field(default_factory=list)

    @property
    def others_declined(self) -> int:
        """Return how many declined that were not preferred."""
        return sum(each not in self.preferred for each in self.declined)


class PlacementPolicy(abc.ABC):
    """Orders companions for a new flow, given what others answered before."""

    @abc.abstractmethod
    def choose(self, situation: Situation, now: timedelta) -> Choice | None:
        """Return the next companion to offer the flow to, or None to refuse it."""


class ShortestQueue(PlacementPolicy):
    """Offers to the least loaded, and waits in the shortest queue when all are full.

    Load pattern answered: bursts on few slots with reports of different ages.
    The first offers ask only for a free slot, so a wrong estimate costs one
    message instead of a place in a queue: first among the preferred companions,
    then among all, skipping those that can't have a free slot by their reports. When no
    server had a free slot, the flow may wait where the queue is shortest; that is
    decided after a few answers, since asking everybody takes longer than the
    queues. A flow is refused when even those queues are so long that waiting would
    take several times as long as the work.
    """

    def __init__(self, zone: str, random_source: random.Random) -> None:
        """Prefer the availability zone of this balancer slightly."""
        self._zone = zone
        self._random = random_source

    def choose(self, situation: Situation, now: timedelta) -> Choice | None:
        """Return the companion with the lowest load that did not decline yet."""
        if chosen := self._free_slot(situation.preferred, situation, now):
            return chosen
        if situation.others_declined < OTHERS_ASKED and (
            chosen := self._free_slot(situation.candidates, situation, now)
        ):
            return chosen
        waiting = [each for each in situation.candidates if each not in situation.full]
        if queues := [each for each in waiting if not each.is_suspect]:
            return self._least_loaded(queues, now, MAX_REQUESTS_PER_SLOT)
        silent = [each for each in waiting if each not in situation.declined]
        return self._least_loaded(silent, now, 1) if silent else None

    def _free_slot(
        self, pool: Sequence[CompanionView], situation: Situation, now: timedelta
    ) -> Choice | None:
        """Return the least loaded companion of a pool that may have a free slot."""
        free = [
            each
            for each in pool
            if each not in situation.declined
            and not each.is_suspect
            and each.busy(now) < each.slots
        ]
        return self._least_loaded(free, now, 1) if free else None

    def _least_loaded(
        self, companions: Sequence[CompanionView], now: timedelta, per_slot: int
    ) -> Choice:
        """Return the companion with the lowest load."""
        loads = [(self._load(each, now), each) for each in companions]
        load, chosen = min(loads, key=lambda pair: pair[0])
        return Choice(chosen, chosen.slots * per_slot, load)

    def _load(self, companion: CompanionView, now: timedelta) -> float:
        """Return the load, with what a hop to another zone adds."""
        other = companion.server.zone != self._zone
        load = companion.load(now) + (OTHER_ZONE_LOAD if other else 0.0)
        return load + self._random.random() * 0.01

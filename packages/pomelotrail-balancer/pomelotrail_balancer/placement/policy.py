"""Placement policies: selection of the companion for a new flow."""

import abc
import itertools
import random
from collections.abc import Mapping, Sequence
from datetime import timedelta

import msgspec

from .companion_view import CompanionView
from .const import (
    DEFAULT_MAX_WAIT,
    DEFAULT_TARGET,
    MAX_OTHERS_DECLINED,
    MAX_REQUESTS_PER_SLOT,
    OTHER_ZONE_LOAD,
)


class Choice(msgspec.Struct, frozen=True):
    """A companion and the request limit under which it may accept the flow.

    With ``max_wait``, the companion decides by the expected wait instead, and ``age``
    is how long the caller has waited.
    """

    companion: CompanionView
    limit: int
    load: float
    speed: float = 1.0
    may_wait: bool = False
    age: timedelta | None = None
    max_wait: timedelta | None = None


class PlacementContext(msgspec.Struct):
    """Companions that may be offered a flow, and those that declined it.

    ``preferred`` is a subset of ``candidates``, the companions of the service that was
    selected by weight; ``alternatives`` are those of the other services of the route.
    Companions in ``declined`` had no free slot or did not reply; those in ``full`` also
    declined to queue the flow, and those in ``declined_on_time`` can't answer it within
    its target. ``late_declines`` counts those that had no room even for a late flow.
    ``max_wait`` is how long the flow may wait in a queue; ``first_sent`` is
    when the caller first sent its opening packet, by the clock of this process.
    ``speeds`` has the servers that are slower than their peers; 1 is the usual speed.
    """

    preferred: Sequence[CompanionView]
    candidates: Sequence[CompanionView]
    alternatives: Sequence[CompanionView] = ()
    declined: list[CompanionView] = msgspec.field(default_factory=list)
    full: list[CompanionView] = msgspec.field(default_factory=list)
    declined_on_time: list[CompanionView] = msgspec.field(default_factory=list)
    late_declines: int = 0
    max_wait: timedelta = DEFAULT_MAX_WAIT
    target: timedelta = DEFAULT_TARGET
    priority: int = 0
    first_sent: timedelta = timedelta()
    speeds: Mapping[CompanionView, float] = msgspec.field(default_factory=dict)

    @property
    def has_single_slots(self) -> bool:
        """Return whether every server of the route runs one request at a time."""
        companions = itertools.chain(self.candidates, self.alternatives)
        return all(each.server.slots <= 1 for each in companions)

    @property
    def others_declined(self) -> int:
        """Return the number of other candidates that declined."""
        others = (each for each in self.declined if each not in self.preferred)
        return sum(each in self.candidates for each in others)

    @property
    def alternatives_declined(self) -> int:
        """Return the number of companions of other services that declined."""
        return sum(each in self.alternatives for each in self.declined)

    def age(self, now: timedelta) -> timedelta:
        """Return how long the caller has waited."""
        return max(timedelta(), now - self.first_sent)

    def record_decline(self, choice: Choice, *, is_busy: bool = True) -> None:
        """Record that a companion declined the flow or didn't reply.

        If it declined for another reason than its work, such as a cold server, no
        offer of a longer wait changes that.
        """
        companion = choice.companion
        if choice.age is not None and not is_busy:
            self.full.append(companion)
        elif choice.max_wait is not None and choice.max_wait > timedelta():
            self.full.append(companion)
            self.late_declines += 1
        elif choice.max_wait is not None:
            self.declined_on_time.append(companion)
        elif companion in self.declined:
            self.full.append(companion)
        self.declined.append(companion)
        if choice.may_wait and choice.max_wait is None:
            self.full.append(companion)


class PlacementPolicy(abc.ABC):
    """Selects companions for a new flow, based on earlier replies."""

    @abc.abstractmethod
    def choose(self, context: PlacementContext, now: timedelta) -> Choice | None:
        """Return the next companion to offer the flow to, or None to refuse it."""


class ShortestQueue(PlacementPolicy):
    """Selects the least loaded companion, or the shortest queue if all are full.

    Handles this load pattern: bursts on few slots with reports of different ages.
    The first offers are only for a free slot, so a wrong estimate costs one message
    instead of a wait in a queue: first to the preferred companions, then to all,
    skipping those that have no free slot according to their reports. If no server
    had a free slot, the flow may wait in the shortest queue; this is decided after
    a few replies, since offering to all takes longer than the queues. How many
    requests may wait at a server follows from its observed processing time and the
    timeout of the route; a flow is refused if it would wait too long everywhere.

    Also handles this load pattern: operators give most of a route's flows to a service
    that can't carry them, while other services of the route have free slots. The
    weights of a route decide while the selected service has a free slot; before a flow
    waits in a queue, it is offered to the other services.
    """

    def __init__(self, zone: str, random_source: random.Random) -> None:
        """Slightly prefer the availability zone of this balancer."""
        self._zone = zone
        self._random = random_source

    def choose(self, context: PlacementContext, now: timedelta) -> Choice | None:
        """Return the least loaded companion that has not declined."""
        usual = [each for each in context.preferred if each not in context.speeds]
        if chosen := self._choose_free_slot(usual, context, now):
            return chosen
        if context.others_declined < MAX_OTHERS_DECLINED and (
            chosen := self._choose_free_slot(context.candidates, context, now)
        ):
            return chosen
        if context.alternatives_declined < MAX_OTHERS_DECLINED and (
            chosen := self._choose_free_slot(context.alternatives, context, now)
        ):
            return chosen
        allowed = [*context.candidates, *context.alternatives]
        queueable = [each for each in allowed if each not in context.full]
        if queues := [each for each in queueable if not each.is_suspect]:
            return self._choose_queue(queues, context, now)
        suspects = [each for each in queueable if each not in context.declined]
        if not suspects:
            return None
        return self._choose_least_loaded(suspects, context.speeds, now)

    def _choose_free_slot(
        self, pool: Sequence[CompanionView], context: PlacementContext, now: timedelta
    ) -> Choice | None:
        """Return the least loaded companion that may have a free slot."""
        free = [
            each
            for each in pool
            if each not in context.declined
            and not each.is_suspect
            and each.estimated_requests(now) < each.slots
        ]
        return self._choose_least_loaded(free, context.speeds, now) if free else None

    def _choose_least_loaded(
        self,
        companions: Sequence[CompanionView],
        speeds: Mapping[CompanionView, float],
        now: timedelta,
    ) -> Choice:
        """Return the companion with the lowest load, limited to its free slots.

        The load of a slow server is the one at which a server of usual speed would
        complete the flow at the same time.
        """
        loads = []
        for each in companions:
            load, speed = self._load(each, now), speeds.get(each, 1.0)
            loads.append(((load + 1) / speed - 1 if speed < 1 else load, each))
        load, chosen = min(loads, key=lambda pair: pair[0])
        return Choice(chosen, chosen.slots, load, speeds.get(chosen, 1.0))

    def _choose_queue(
        self,
        companions: Sequence[CompanionView],
        context: PlacementContext,
        now: timedelta,
    ) -> Choice | None:
        """Return the companion where a flow waits for the shortest time.

        A slow server works longer on the flow too, which counts like a wait.
        """
        waits = []
        for each in companions:
            longer = 1.0 - context.speeds.get(each, 1.0)
            waits.append(((self._load(each, now) + longer) * each.work, each))
        wait, chosen = min(waits, key=lambda pair: pair[0])
        limit = self._queue_limit(chosen, context.max_wait)
        speed = context.speeds.get(chosen, 1.0)
        may_wait = limit > chosen.slots
        return Choice(chosen, limit, wait / chosen.work, speed, may_wait)

    @staticmethod
    def _queue_limit(companion: CompanionView, max_wait: timedelta) -> int:
        """Return the number of requests behind which a flow may wait."""
        per_slot = max(1, int(max_wait / companion.work))
        return companion.slots * min(per_slot, MAX_REQUESTS_PER_SLOT)

    def _load(self, companion: CompanionView, now: timedelta) -> float:
        """Return the load, including the cost of a hop to another zone."""
        load = companion.load(now) + self._zone_load(companion)
        return load + self._random.random() * 0.01

    def _zone_load(self, companion: CompanionView) -> float:
        """Return the cost of a hop to the zone of a companion."""
        is_other = companion.server.zone != self._zone
        return OTHER_ZONE_LOAD if is_other else 0.0

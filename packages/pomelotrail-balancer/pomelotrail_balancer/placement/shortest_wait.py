"""Placement by the expected wait, for servers that run one request at a time."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from .companion_view import CompanionView
from .const import MAX_LATE_DECLINED, MAX_ON_TIME_DECLINED
from .policy import Choice, PlacementContext, ShortestQueue


class ShortestWait(ShortestQueue):
    """Selects a free server, or the one where the flow waits for the shortest time.

    Handles this load pattern: servers that run one request at a time are all busy, and
    many of the waiting requests are late for good, as after an outage. A flow is
    offered where it can still meet its target. The companion decides, since it knows
    how much of its queue is late; a few are asked, since reports are older than the
    queues. A flow that can't meet its target anywhere is offered to the companions with
    the least work, which accept it if it is answered well within the timeout of its
    route. If none does, the flow is refused at once.
    """

    def choose(self, context: PlacementContext, now: timedelta) -> Choice | None:
        """Return the choice with the age of the opening, by which companions decide."""
        choice = super().choose(context, now)
        if choice is None:
            return None
        return msgspec.structs.replace(choice, age=context.age(now))

    def _choose_queue(
        self,
        companions: Sequence[CompanionView],
        context: PlacementContext,
        now: timedelta,
    ) -> Choice | None:
        """Return the companion where the flow waits, or None to refuse it."""
        if len(context.declined_on_time) < MAX_ON_TIME_DECLINED:
            left = context.target - context.age(now)
            waits = (
                (self._wait_on_time(each, context, now), each)
                for each in companions
                if each not in context.declined_on_time
            )
            on_time = [(wait, each) for wait, each in waits if wait + each.work <= left]
            if on_time:
                return self._choose_shortest(on_time, context, timedelta())
        max_wait = context.max_wait - context.age(now)
        if context.late_declines >= MAX_LATE_DECLINED or max_wait <= timedelta():
            return None
        waits = [(self._load(each, now) * each.work, each) for each in companions]
        return self._choose_shortest(waits, context, max_wait)

    def _wait_on_time(
        self, companion: CompanionView, context: PlacementContext, now: timedelta
    ) -> timedelta:
        """Return the expected wait of an on-time flow, with the cost of the hop.

        A slow server works longer on the flow too, which counts like a wait.

        Old reports expect no wait. The random part keeps all balancers of a zone from
        choosing the same companion then.
        """
        longer = 1.0 - context.speeds.get(companion, 1.0)
        extra = self._zone_load(companion) + longer + self._random.random() * 0.01
        wait = companion.expected_wait(context.priority, now)
        return wait + extra * companion.work

    def _choose_shortest(
        self,
        waits: Sequence[tuple[timedelta, CompanionView]],
        context: PlacementContext,
        max_wait: timedelta,
    ) -> Choice:
        """Return the companion with the shortest wait.

        Companions of an earlier version read only the limit.
        """
        wait, chosen = min(waits, key=lambda pair: pair[0])
        limit = self._queue_limit(chosen, max_wait)
        speed = context.speeds.get(chosen, 1.0)
        return Choice(chosen, limit, wait / chosen.work, speed, max_wait=max_wait)

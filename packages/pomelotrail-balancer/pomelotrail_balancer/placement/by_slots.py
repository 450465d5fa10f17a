"""Selection of the placement policy by the slots of a route's servers."""

import random
from datetime import timedelta

from .policy import Choice, PlacementContext, PlacementPolicy, ShortestQueue
from .shortest_wait import ShortestWait


class PlacementBySlots(PlacementPolicy):
    """Places flows by wait where each server of the route runs one request at a time.

    There, every request that waits holds up the others by its whole processing time,
    and a server is either free or full. With several slots, the number of requests in
    relation to the slots tells which server has room.
    """

    def __init__(self, zone: str, random_source: random.Random) -> None:
        """Slightly prefer the availability zone of this balancer."""
        self._by_count = ShortestQueue(zone, random_source)
        self._by_wait = ShortestWait(zone, random_source)

    def choose(self, context: PlacementContext, now: timedelta) -> Choice | None:
        """Return the choice of the policy that fits the route's servers."""
        if context.has_single_slots:
            return self._by_wait.choose(context, now)
        return self._by_count.choose(context, now)

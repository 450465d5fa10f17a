"""Queue of the opening packets that wait for placement."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Packet

from .const import MAX_OPENING_WAIT, OPENINGS_PER_ITERATION


class OpeningQueue:
    """Places a few openings per iteration of the event loop, the newest first.

    Handles this load pattern: openings arrive faster than the processor of a small
    VM places them. In order of arrival, each would be placed after its caller has
    retransmitted it or given up, so the work would be wasted, and retransmissions
    would add to it. The newest can still be served. An opening that has waited for
    200 ms is dropped, since its caller has retransmitted it by then. Between
    iterations, replies of companions and packets of known flows are read, so that
    work in progress is finished first.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        place: Callable[[Packet], None],
    ) -> None:
        """Place openings with ``place``."""
        self._clock = clock
        self._log = log
        self._counters = counters
        self._place = place
        self._waiting: deque[tuple[timedelta, Packet]] = deque()

    def add(self, packet: Packet) -> None:
        """Queue an opening packet."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._place_newest)
        self._waiting.append((self._clock.monotonic(), packet))

    def _place_newest(self) -> None:
        """Place some openings and schedule the next iteration."""
        try:
            for _ in range(min(OPENINGS_PER_ITERATION, len(self._waiting))):
                _, packet = self._waiting.pop()
                self._place(packet)
            self._drop_expired()
        finally:
            # An opening that fails must not keep the others waiting for good.
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._place_newest)

    def _drop_expired(self) -> None:
        """Drop openings whose callers have retransmitted them."""
        now = self._clock.monotonic()
        dropped = 0
        while self._waiting and now - self._waiting[0][0] >= MAX_OPENING_WAIT:
            self._waiting.popleft()
            dropped += 1
        if dropped:
            self._counters.add("openings_dropped", dropped)
            waiting = len(self._waiting)
            self._log.write("placement", "overloaded", dropped=dropped, waiting=waiting)

"""The order in which openings are placed when there are more than can be."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Packet

from .const import MAX_OPENING_WAIT, OPENINGS_PER_TURN


class OpeningQueue:
    """Places a few openings in each turn of the event loop, the newest first.

    Load pattern answered: openings come faster than a small VM's processor places
    them. In order of arrival, each would be placed when its caller has sent copies
    or given up, so that all the work serves nobody, and the copies add to it. The
    newest can still be served. One that has waited for 200 ms is dropped, since its
    caller has sent a copy by then. Between turns, replies of companions and packets
    of known flows are read, so that work which was begun is finished first.
    """

    def __init__(
        self,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        place: Callable[[Packet], None],
    ) -> None:
        """Hand openings to ``place``."""
        self._clock = clock
        self._log = log
        self._counters = counters
        self._place = place
        self._waiting: deque[tuple[timedelta, Packet]] = deque()

    def add(self, packet: Packet) -> None:
        """Place an opening soon."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._take_turn)
        self._waiting.append((self._clock.monotonic(), packet))

    def _take_turn(self) -> None:
        """Place some openings, and come back for others."""
        for _ in range(min(OPENINGS_PER_TURN, len(self._waiting))):
            _, packet = self._waiting.pop()
            self._place(packet)
        self._drop_old()
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _drop_old(self) -> None:
        """Forget openings whose callers have sent copies."""
        now = self._clock.monotonic()
        dropped = 0
        while self._waiting and now - self._waiting[0][0] >= MAX_OPENING_WAIT:
            self._waiting.popleft()
            dropped += 1
        if dropped:
            self._counters.add("openings_dropped", dropped)
            waiting = len(self._waiting)
            self._log.write("placement", "overloaded", dropped=dropped, waiting=waiting)

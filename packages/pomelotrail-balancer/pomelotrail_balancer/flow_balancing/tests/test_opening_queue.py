"""Tests of the opening queue with more openings than the processor can place."""

import asyncio
import unittest

from harness.flow_fleet import MemoryLogWriter
from harness.virtual_time import (
    VirtualClock,
    keep_processor_busy,
    run_in_virtual_time,
)
from pomelotrail_balancer.flow_balancing.opening_queue import OpeningQueue
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog
from stand_ins.flows import make_packet

_SERVICE = bytes(6)


class OpeningQueueTest(unittest.TestCase):
    """Openings that each take 20 ms to place."""

    def replay(self, per_s: int, seconds: float) -> list[float]:
        """Return the waiting time of each opening that was placed."""
        waits: list[float] = []
        counters = Counters()

        async def async_run() -> None:
            """Send openings at a constant rate."""
            loop = asyncio.get_running_loop()
            sent: dict[bytes, float] = {}

            def place(packet) -> None:  # noqa: ANN001
                """Record the waiting time and use the processor."""
                waits.append(loop.time() - sent[packet.sender])
                keep_processor_busy(0.02)

            log = EventLog("test", VirtualClock(), MemoryLogWriter())
            queue = OpeningQueue(VirtualClock(), log, counters, place)
            index = 0
            while loop.time() < seconds:
                while index < loop.time() * per_s:
                    caller = index.to_bytes(6)
                    sent[caller] = index / per_s
                    queue.add(make_packet(caller, _SERVICE, 1, 0, opens=True))
                    index += 1
                await asyncio.sleep(0.001)

        run_in_virtual_time(async_run())
        self.dropped = counters.value("openings_dropped")
        return waits

    def test_enough_processor(self) -> None:
        """Every opening is placed without a long wait."""
        waits = self.replay(per_s=25, seconds=4)
        self.assertEqual(self.dropped, 0)
        self.assertGreaterEqual(len(waits), 98)
        self.assertLess(max(waits), 0.1)

    def test_twice_as_many_as_can_be_placed(self) -> None:
        """The processor is fully used, and most placed openings waited under 200 ms."""
        waits = self.replay(per_s=100, seconds=10)
        self.assertGreaterEqual(len(waits), 400)
        self.assertLess(max(waits), 0.4)
        self.assertLess(sorted(waits)[len(waits) // 2], 0.2)

    def test_opening_that_fails(self) -> None:
        """Guards against a queue that places nothing more after one failure."""
        placed: list[bytes] = []

        async def async_run() -> None:
            """Queue openings of which the first one placed fails."""
            errors: list[dict] = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(lambda _, context: errors.append(context))

            def place(packet) -> None:  # noqa: ANN001
                """Fail at the first opening."""
                if not errors and not placed:
                    placed.append(b"")
                    raise MemoryError
                placed.append(packet.sender)

            log = EventLog("test", VirtualClock(), MemoryLogWriter())
            queue = OpeningQueue(VirtualClock(), log, Counters(), place)
            for index in range(20):
                packet = make_packet(index.to_bytes(6), _SERVICE, 1, 0, opens=True)
                queue.add(packet)
            await asyncio.sleep(0.1)
            self.assertEqual(len(errors), 1)

        run_in_virtual_time(async_run())
        self.assertEqual(len(placed), 20)

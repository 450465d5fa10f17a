"""Tests of pausing traffic after a suspension."""

import asyncio
import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock, async_run_ready_tasks
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.suspend_detection import ConfigurationCheck, SuspendDetector
from pomelotrail_core.suspend_detection.const import MAX_TICK_GAP, MAX_TRAFFIC_PAUSE
from pomelotrail_core.timeline import EventKind, Recorder

_SUSPENSION = MAX_TICK_GAP + timedelta(seconds=2)


class _FakeCheck(ConfigurationCheck):
    """Finishes the comparison when the test sets ``reached``."""

    def __init__(self) -> None:
        """Start with no source reached."""
        self.reached = asyncio.Event()
        self.calls = 0

    async def async_compare(self) -> str:
        """Wait until the test sets ``reached``."""
        self.calls += 1
        await self.reached.wait()
        return "the service"


class _RecordingProtocol(asyncio.DatagramProtocol):
    """Records that a datagram has arrived."""

    def __init__(self) -> None:
        """Start with no datagram received."""
        self.arrived = asyncio.Event()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record the arrival."""
        self.arrived.set()


class SuspendDetectorTest(unittest.IsolatedAsyncioTestCase):
    """A process that was suspended does not act on stale state."""

    async def asyncSetUp(self) -> None:
        """Start a detector on a fake clock."""
        self.clock = FakeClock()
        self.recorder = Recorder("p", "z", self.clock)
        self.check = _FakeCheck()
        self.detector = SuspendDetector(self.clock, self.check, self.recorder)
        ticking = asyncio.create_task(self.detector.async_tick())
        self.addCleanup(ticking.cancel)
        await self.clock.async_advance(timedelta(seconds=5))

    async def test_running_process_is_not_paused(self) -> None:
        """Ticks on time mean no suspension, even without traffic."""
        self.assertFalse(self.detector.is_paused())
        self.assertFalse(self.recorder.events)

    async def test_packets_wait_before_the_next_tick(self) -> None:
        """The first packet after the suspension waits, not only later ones."""
        self.clock.jump(_SUSPENSION)
        self.assertTrue(self.detector.is_paused())

    async def test_traffic_resumes_after_comparison(self) -> None:
        """The timeline has the suspension and the source of the comparison."""
        self.clock.jump(_SUSPENSION)
        resumed = []
        self.assertTrue(self.detector.is_paused())
        self.detector.call_when_resumed(lambda: resumed.append(True))
        self.check.reached.set()
        await async_run_ready_tasks()
        self.assertFalse(self.detector.is_paused())
        self.assertEqual(resumed, [True])
        kinds = [event.kind for event in self.recorder.events]
        self.assertEqual(kinds, [EventKind.WOKE_LATE] * 2)
        self.assertIn("the service", self.recorder.events[-1].detail)

    async def test_pause_is_bounded(self) -> None:
        """Without a reachable source, the process continues with its configuration."""
        self.clock.jump(_SUSPENSION)
        self.assertTrue(self.detector.is_paused())
        await self.clock.async_advance(MAX_TRAFFIC_PAUSE - timedelta(milliseconds=1))
        self.assertTrue(self.detector.is_paused())
        await self.clock.async_advance(timedelta(milliseconds=1))
        self.assertFalse(self.detector.is_paused())
        self.assertIn(
            "using the configuration in force", self.recorder.events[-1].detail
        )

    async def test_two_suspensions(self) -> None:
        """A later suspension pauses again; one during the pause adds no check."""
        self.clock.jump(_SUSPENSION)
        self.detector.is_paused()
        self.clock.jump(_SUSPENSION)
        self.assertTrue(self.detector.is_paused())
        self.check.reached.set()
        await async_run_ready_tasks()
        self.assertEqual(self.check.calls, 1)
        self.clock.jump(_SUSPENSION)
        self.assertTrue(self.detector.is_paused())
        await async_run_ready_tasks()
        self.assertEqual(self.check.calls, 2)

    async def test_socket_reads_nothing_while_paused(self) -> None:
        """Datagrams wait in the kernel and are read when traffic resumes."""
        protocol = _RecordingProtocol()
        socket = DatagramSocket(protocol, ("127.0.0.1", 0), self.detector)
        self.addCleanup(socket.close)
        self.clock.jump(_SUSPENSION)
        socket.sendto(b"late", socket.get_extra_info("sockname"))
        await asyncio.sleep(0.05)
        self.assertFalse(protocol.arrived.is_set())
        self.check.reached.set()
        await asyncio.wait_for(protocol.arrived.wait(), 30)

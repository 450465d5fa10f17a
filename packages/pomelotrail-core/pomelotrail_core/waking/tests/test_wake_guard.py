"""Tests of holding the traffic after a pause."""

import asyncio
import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock, async_settle
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.waking import ConfigurationCheck, WakeGuard
from pomelotrail_core.waking.const import LONGEST_GAP, LONGEST_HOLD

_PAUSE = LONGEST_GAP + timedelta(seconds=2)


class _FakeCheck(ConfigurationCheck):
    """Compares when the test says so."""

    def __init__(self) -> None:
        """Start with nobody reached."""
        self.reached = asyncio.Event()
        self.calls = 0

    async def async_compare(self) -> str:
        """Wait for the test."""
        self.calls += 1
        await self.reached.wait()
        return "the service"


class _Keeper(asyncio.DatagramProtocol):
    """Tells when a datagram has arrived."""

    def __init__(self) -> None:
        """Start with none."""
        self.arrived = asyncio.Event()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Note that one has arrived."""
        self.arrived.set()


class WakeGuardTest(unittest.IsolatedAsyncioTestCase):
    """A process that wakes late does not act on old facts."""

    async def asyncSetUp(self) -> None:
        """Start a guard on a clock of the test."""
        self.clock = FakeClock()
        self.recorder = Recorder("p", "z", self.clock)
        self.check = _FakeCheck()
        self.guard = WakeGuard(self.clock, self.check, self.recorder)
        ticking = asyncio.create_task(self.guard.async_tick())
        self.addCleanup(ticking.cancel)
        await self.clock.async_advance(timedelta(seconds=5))

    async def test_running_process_is_not_held(self) -> None:
        """Ticks on time mean no pause, however quiet the traffic was."""
        self.assertFalse(self.guard.is_holding())
        self.assertFalse(self.recorder.events)

    async def test_packets_wait_before_the_tick_notices(self) -> None:
        """The first packet after the pause is held, not only later ones."""
        self.clock.jump(_PAUSE)
        self.assertTrue(self.guard.is_holding())

    async def test_released_once_compared(self) -> None:
        """Both the pause and whom it was compared with are on the time line."""
        self.clock.jump(_PAUSE)
        released = []
        self.assertTrue(self.guard.is_holding())
        self.guard.call_when_released(lambda: released.append(True))
        self.check.reached.set()
        await async_settle()
        self.assertFalse(self.guard.is_holding())
        self.assertEqual(released, [True])
        kinds = [event.kind for event in self.recorder.events]
        self.assertEqual(kinds, [EventKind.WOKE_LATE] * 2)
        self.assertIn("the service", self.recorder.events[-1].detail)

    async def test_hold_is_bounded(self) -> None:
        """When nobody can be reached the process goes on with what it has."""
        self.clock.jump(_PAUSE)
        self.assertTrue(self.guard.is_holding())
        await self.clock.async_advance(LONGEST_HOLD - timedelta(milliseconds=1))
        self.assertTrue(self.guard.is_holding())
        await self.clock.async_advance(timedelta(milliseconds=1))
        self.assertFalse(self.guard.is_holding())
        self.assertIn("working on what is in force", self.recorder.events[-1].detail)

    async def test_two_pauses(self) -> None:
        """A second pause is held again; one during the hold adds no check."""
        self.clock.jump(_PAUSE)
        self.guard.is_holding()
        self.clock.jump(_PAUSE)
        self.assertTrue(self.guard.is_holding())
        self.check.reached.set()
        await async_settle()
        self.assertEqual(self.check.calls, 1)
        self.clock.jump(_PAUSE)
        self.assertTrue(self.guard.is_holding())
        await async_settle()
        self.assertEqual(self.check.calls, 2)

    async def test_socket_reads_nothing_while_held(self) -> None:
        """Datagrams wait in the kernel and are read after the release."""
        keeper = _Keeper()
        socket = DatagramSocket(keeper, ("127.0.0.1", 0), self.guard)
        self.addCleanup(socket.close)
        self.clock.jump(_PAUSE)
        socket.sendto(b"late", socket.get_extra_info("sockname"))
        await asyncio.sleep(0.05)
        self.assertFalse(keeper.arrived.is_set())
        self.check.reached.set()
        await asyncio.wait_for(keeper.arrived.wait(), 30)

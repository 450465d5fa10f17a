"""Tests of the graceful shutdown."""

import asyncio
import unittest
from datetime import timedelta

from harness.builders import configuration
from harness.fake_clock import FakeClock
from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.draining.const import LEAVING_NOTICE_PERIOD
from pomelotrail_companion.draining.orders import apply_state_to_edge
from pomelotrail_companion.draining.shutdown import GracefulShutdown
from pomelotrail_companion.edge.tests.builders import FakeEdge
from pomelotrail_core.timeline import Recorder

_LONG = timedelta(hours=10)


class GracefulShutdownTest(unittest.IsolatedAsyncioTestCase):
    """The shutdown waits for running requests of any duration."""

    def setUp(self) -> None:
        """Create a companion with an idle and a busy flow."""
        self.clock = FakeClock()
        self.recorder = Recorder("ledger-1", "porbandar", self.clock)
        self.state = DrainingState("ledger-1", "porbandar", self.recorder)
        self.state.configure(configuration())
        self.edge = FakeEdge()
        self.edge.flows = {b"idle", b"busy"}
        self.edge.busy = {b"busy"}
        apply_state_to_edge(self.state, self.edge)

    def start(self, limit: timedelta | None = None) -> asyncio.Task[None]:
        """Start the shutdown of the companion."""
        shutdown = GracefulShutdown(
            self.edge, self.state, self.clock, self.recorder, limit
        )
        return asyncio.create_task(shutdown.async_run())

    async def test_waits_for_running_requests_without_a_limit(self) -> None:
        """A stream that stays open for many hours is not closed."""
        task = self.start()
        await self.clock.async_advance(timedelta(minutes=1))
        self.assertEqual(self.edge.flows, {b"busy"})
        self.clock.jump(_LONG)
        await self.clock.async_advance(timedelta(seconds=1))
        self.assertFalse(task.done())
        self.edge.busy.clear()
        await self.clock.async_advance(timedelta(seconds=1))
        self.assertTrue(task.done())
        self.assertIn("close 0", self.edge.calls)

    async def test_limit_closes_and_records(self) -> None:
        """With a limit in the settings the timeline records the closed flows."""
        task = self.start(timedelta(seconds=30))
        await self.clock.async_advance(timedelta(seconds=29))
        self.assertFalse(task.done())
        await self.clock.async_advance(timedelta(seconds=2))
        self.assertTrue(task.done())
        self.assertIn("1 flows", self.recorder.events[-1].detail)

    async def test_callers_are_notified_before_requests_are_refused(self) -> None:
        """Callers can move to other servers during the notice period."""
        self.start()
        await self.clock.async_advance(
            LEAVING_NOTICE_PERIOD - timedelta(milliseconds=1)
        )
        self.assertEqual(self.edge.calls, ["resume", "announce"])
        self.assertEqual(self.edge.flow_count, 2)
        await self.clock.async_advance(timedelta(seconds=1))
        self.assertEqual(self.edge.calls, ["resume", "announce", "refuse"])

    async def test_new_version_does_not_revoke_leaving(self) -> None:
        """A configuration that arrives during the shutdown has no effect."""
        self.start()
        await self.clock.async_advance(timedelta(seconds=1))
        self.state.configure(configuration(2))
        self.assertFalse(self.state.accepts_new_flows)

    async def test_zone_out_during_the_shutdown_closes(self) -> None:
        """Flows in a zone that is out are closed."""
        task = self.start()
        await self.clock.async_advance(timedelta(seconds=1))
        self.state.configure(configuration(2, zones_out=frozenset({"porbandar"})))
        self.assertFalse(self.edge.flows)
        await self.clock.async_advance(timedelta(seconds=3))
        self.assertTrue(task.done())

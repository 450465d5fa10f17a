"""Suspicion over a whole fleet of real processes."""

import asyncio
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path
from typing import Final

import attrs

from harness.fleet import Fleet
from harness.specification import KESAR_TIDEWATER
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.timeline import EventKind
from pomelotrail_core.timeline.client import async_read_process

_TIMEOUT: Final = timedelta(seconds=5)
_SMALL: Final = attrs.evolve(
    KESAR_TIDEWATER,
    balancers=3,
    services=(attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=3),),
)


class SuspicionPathTest(unittest.IsolatedAsyncioTestCase):
    """Balancers notice that a companion has died."""

    async def test_dead_companion_is_suspected(self) -> None:
        """Every balancer records the suspicion of its monitor."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = Fleet(_SMALL, Path(directory.name))
        self.addAsyncCleanup(fleet.async_stop)
        await fleet.async_start()
        await asyncio.sleep(1)
        victim = fleet.companions[0].name
        await fleet.processes[victim].async_kill()
        for balancer in fleet.balancers:
            await self.assert_suspects(balancer.control, victim)

    async def assert_suspects(self, balancer: Endpoint, victim: str) -> None:
        """Read the time line of a balancer until the suspicion stands there."""
        while True:
            read = (
                await async_read_process(balancer, SystemClock(), None, _TIMEOUT)
            ).unwrap()
            if any(
                event.kind is EventKind.SUSPECTED and event.detail == victim
                for event in read.events
            ):
                return
            await asyncio.sleep(0.2)

"""Failure suspicion in a fleet of real processes."""

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
_SMALL_FLEET: Final = attrs.evolve(
    KESAR_TIDEWATER,
    balancers=3,
    services=(attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=3),),
)


class SuspicionPathTest(unittest.IsolatedAsyncioTestCase):
    """Balancers suspect a companion that was killed."""

    async def test_killed_companion_is_suspected(self) -> None:
        """Every balancer records the suspicion on its timeline."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = Fleet(_SMALL_FLEET, Path(directory.name))
        self.addAsyncCleanup(fleet.async_stop)
        await fleet.async_start()
        await asyncio.sleep(1)
        victim = fleet.companions[0].name
        await fleet.processes[victim].async_kill()
        for balancer in fleet.balancers:
            await self.async_wait_until_suspected(balancer.control, victim)

    async def async_wait_until_suspected(self, balancer: Endpoint, victim: str) -> None:
        """Poll the timeline of a balancer until it contains the suspicion."""
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

"""Tests of real processes that have no descriptor left for a while."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from typing import Final

import aiohttp

from stand_ins.platform_fleet import PlatformFleet, RoleProcess, async_wait_until
from stand_ins.platform_store import Publisher

# Below what each process has open, so that it can't open anything.
_NONE_LEFT: Final = 3
_ENOUGH: Final = 256


class DescriptorLimitTest(unittest.IsolatedAsyncioTestCase):
    """One balancer and one companion."""

    async def asyncSetUp(self) -> None:
        """Start the fleet; each process has answered one probe."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = PlatformFleet(Path(directory.name), 1, 1)
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()
        self.processes = [*self.fleet.balancers, *self.fleet.companions]

    async def async_metrics(self, process: RoleProcess) -> str:
        """Return the metrics, or nothing if the process doesn't answer."""
        try:
            async with asyncio.timeout(1):
                return await self.fleet.async_metrics(process)
        except (aiohttp.ClientError, TimeoutError):
            return ""

    async def async_wait_for_event(self, event: str) -> None:
        """Wait until the balancer has written a line."""
        (balancer,) = self.fleet.balancers

        async def async_is_written() -> bool:
            """Return whether the log contains the event."""
            self.assertTrue(balancer.is_running, balancer.log.read_text())
            return event in {line["event"] for line in balancer.lines()}

        await async_wait_until(async_is_written)

    async def test_no_descriptor_left(self) -> None:
        """Guards against a process that ends, or never recovers, at its limit.

        The balancer loses its connections to the store, and the first scrape imports a
        library, while nothing can be opened.
        """
        caller = self.fleet.caller()
        await caller.async_open_and_request(b"one")
        for process in self.processes:
            process.limit_descriptors(_NONE_LEFT)
        self.fleet.store.faults.status = 503
        Publisher(self.fleet.store).take_out_zone("zone-2")
        await self.fleet.store.async_drop_connections()
        await self.async_wait_for_event("source_lost")
        for process in self.processes:
            self.assertEqual(await self.async_metrics(process), "")
        self.assertEqual(await caller.async_send_request(b"two", 50), b"answer to two")
        self.fleet.store.faults.status = 0
        for process in self.processes:
            self.assertTrue(process.is_running, process.log.read_text())
            process.limit_descriptors(_ENOUGH)
        await self.async_wait_for_event("source_back")
        for process in self.processes:

            async def async_is_scraped(process: RoleProcess = process) -> bool:
                """Return whether the process shows its metrics again."""
                return "pomelotrail_" in await self.async_metrics(process)

            await async_wait_until(async_is_scraped)
        answer = await self.fleet.caller().async_open_and_request(b"three")
        self.assertEqual(answer, b"answer to three")

"""Graceful shutdown of a companion, with real processes on loopback."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import aiohttp
import attrs

from harness.fleet import Fleet
from harness.specification import KESAR_TIDEWATER
from stand_ins.caller import async_connect

_SINGLE_SERVER_FLEET = attrs.evolve(
    KESAR_TIDEWATER,
    balancers=2,
    services=(attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=1),),
)
_STALL_SECONDS = 3.0


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    """A companion that is stopped completes its running requests."""

    async def asyncSetUp(self) -> None:
        """Start a fleet with one slow backend server."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet(_SINGLE_SERVER_FLEET, Path(directory.name))
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()
        self.companion = self.fleet.companions[0]
        url = f"http://{self.companion.backend_server}/admin/behaviour"
        async with aiohttp.ClientSession() as session:
            await session.post(url, json={"stall_seconds": _STALL_SECONDS})

    async def test_running_request_is_answered_completely(self) -> None:
        """On SIGTERM it sends GOAWAY, completes the answer and exits with status 0."""
        address = self.fleet.service_addresses["stock-ledger"]
        async with async_connect(address.host, address.port) as caller:
            answer = caller.start_request("POST", "/uploads", b"x" * 50_000)
            await self._async_wait_running()
            process = self.fleet.processes[self.companion.name]
            stopping = asyncio.create_task(process.async_stop(60))
            await answer.async_wait_complete()
            self.assertEqual(answer.status, 200)
            self.assertTrue(caller.goaway_received.is_set())
            self.assertEqual(await stopping, 0)

    async def _async_wait_running(self) -> None:
        """Wait until the backend server runs the request."""
        url = f"http://{self.companion.backend_server}/admin/state"
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.get(url) as response:
                    if (await response.json())["running"]:
                        return
                await asyncio.sleep(0.05)

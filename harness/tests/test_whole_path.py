"""End-to-end tests of the QUIC path with real processes on loopback."""

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

import attrs

from harness.fleet import Fleet
from harness.process import ProcessStartError
from harness.specification import KESAR_TIDEWATER
from pomelotrail_core.command_line.const import TLS_DIRECTORY_VARIABLE
from pomelotrail_core.peers import PeerSecurity
from pomelotrail_core.peers.security import installed_security
from stand_ins.caller import async_connect

_SMALL_FLEET = attrs.evolve(
    KESAR_TIDEWATER,
    balancers=3,
    services=tuple(
        attrs.evolve(service, endpoints=2) for service in KESAR_TIDEWATER.services
    ),
)


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """Requests pass the fabric, a balancer and a companion to the backend server."""

    async def asyncSetUp(self) -> None:
        """Prepare a fleet in a temporary directory."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.fleet = Fleet(_SMALL_FLEET, self.directory)
        self.addAsyncCleanup(self.fleet.async_stop)

    async def test_flow_survives_killed_balancers(self) -> None:
        """Streamed answers continue and requests succeed after balancers are killed."""
        await self.fleet.async_start()
        address = self.fleet.service_addresses["stock-ledger"]
        async with async_connect(address.host, address.port) as caller:
            board = caller.start_request("GET", "/board")
            await board.async_wait_bytes(1)
            for balancer in self.fleet.balancers[:2]:
                await self.fleet.processes[balancer.name].async_kill()
            await self.fleet.async_set_members([self.fleet.balancers[2].name])
            received_bytes = len(board.body)
            await board.async_wait_bytes(received_bytes + 1)
            answer = await caller.async_request("POST", "/uploads", b"x" * 200_000)
            self.assertEqual(answer.status, 200)

    async def test_service_published_after_the_start(self) -> None:
        """Companions that start before their service is published wait for it."""
        services = self.fleet.document["services"]
        withheld = services.pop()
        service_name = withheld["name"]
        await self.fleet.async_start_platform()
        await self.fleet.async_publish()
        await self.fleet.async_start_programs(
            [balancer.name for balancer in self.fleet.balancers]
        )
        names = [companion.name for companion in self.fleet.companions]
        starting = asyncio.create_task(self.fleet.async_start_programs(names))
        services.append(withheld)
        await self.fleet.async_publish()
        await starting
        address = self.fleet.service_addresses[service_name]
        async with async_connect(address.host, address.port) as caller:
            answer = await caller.async_request("GET", "/archive?bytes=1000")
            self.assertEqual(answer.status, 200)

    async def test_stopped_fleet_restores_plain_connections(self) -> None:
        """Stopping the fleet restores plain control connections for later tests."""
        self.assertIn(TLS_DIRECTORY_VARIABLE, os.environ)
        await self.fleet.async_stop()
        self.assertNotIn(TLS_DIRECTORY_VARIABLE, os.environ)
        self.assertEqual(installed_security(), PeerSecurity())

    async def test_wrong_settings_are_refused(self) -> None:
        """An unknown settings key stops the process with a hint at the right key."""
        await self.fleet.async_start_platform()
        balancer = self.fleet.balancers[0]
        path = self.directory / f"{balancer.name}.yaml"
        path.write_text(path.read_text().replace("fleet_key", "fleet_keys"))
        process = self.fleet.processes[balancer.name]
        with self.assertRaisesRegex(ProcessStartError, "did you mean 'fleet_key'"):
            await process.async_start()
        self.assertEqual(await process.async_stop(), 2)

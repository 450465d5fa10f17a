"""Accepted openings, and packets of other flows between the same addresses."""

import asyncio
import unittest
from typing import Final

from harness.flow_fleet import FlowFleet
from harness.virtual_time import run_in_virtual_time
from stand_ins.flows import StandInCaller

NEW_BALANCER: Final = "192.0.2.200"


class AcceptedOpeningTest(unittest.TestCase):
    """A server has accepted a flow, and the caller's next packet is late or lost."""

    def setUp(self) -> None:
        """Start without tasks."""
        self.tasks: list[asyncio.Task] = []

    async def async_open(self, **options: int) -> tuple[FlowFleet, StandInCaller, str]:
        """Return a fleet, a caller that opened a flow, and the host that accepted it.

        Companions remove expired flows, as their processes do.
        """
        fleet = FlowFleet(**options)
        self.tasks = [
            asyncio.create_task(proxy.async_sweep_regularly())
            for proxy in fleet.proxies.values()
        ]
        caller = fleet.caller()
        self.assertTrue(await caller.async_open())
        (host,) = [host for host, server in fleet.servers.items() if server.flows]
        return fleet, caller, host

    def test_late_copy_of_the_opening_of_a_known_flow(self) -> None:
        """Guards against a companion that denies a flow which only its server knows.

        It has restarted and gets a late copy of the opening, which its server ignores:
        it has an entry with these addresses that the caller's packets don't match.
        """

        async def async_run() -> None:
            """Restart the companion of an open flow and offer it the opening again."""
            fleet, caller, host = await self.async_open(servers=1)
            self.assertEqual(await caller.async_send_request(b"one"), b"answer to one")
            fleet.stop_companion(host)
            fleet.start_companion(host)
            fleet.start_balancer(NEW_BALANCER)
            fleet.servers[host].answers_opening_packets = False
            copy = fleet.caller()
            copy.use_address(caller.packed_address)
            opening = asyncio.create_task(copy.async_open())
            await asyncio.sleep(0.05)
            opening.cancel()
            self.assertEqual(len(fleet.servers[host].opening_times), 2)
            caller.use_address(caller.packed_address)
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")
            self.assertEqual(await caller.async_send_request(b"six"), b"answer to six")

        run_in_virtual_time(async_run())

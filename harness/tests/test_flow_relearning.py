"""Requests on flows that a companion has learnt anew from its backend server."""

import asyncio
import unittest

from harness.flow_fleet import FlowFleet
from harness.virtual_time import run_in_virtual_time
from stand_ins.flows import StandInCaller


class RelearntFlowTest(unittest.TestCase):
    """What repeated packets of a learnt flow do to the slots."""

    async def async_lose_tables(self) -> tuple[FlowFleet, StandInCaller]:
        """Return a fleet of one slot without tables, and the caller of an open flow."""
        fleet = FlowFleet(servers=1, slots=1)
        for server in fleet.servers.values():
            server.executes_duplicates = False
        caller = fleet.caller()
        await caller.async_open_and_request(b"one")
        fleet.restart_companions()
        fleet.start_balancer("192.0.2.200")
        return fleet, caller

    def test_request_that_found_the_flow_takes_one_slot_once(self) -> None:
        """Its copy for the owner is no second request that holds the slot."""

        async def async_run() -> None:
            """Kill everything of ours between two requests, then send a third."""
            fleet, caller = await self.async_lose_tables()
            self.assertEqual(
                await caller.async_send_request(b"two", 1), b"answer to two"
            )
            other = fleet.caller()
            self.assertEqual(
                await other.async_open_and_request(b"three"), b"answer to three"
            )
            self.assertEqual(
                await caller.async_send_request(b"four", 1), b"answer to four"
            )

        run_in_virtual_time(async_run())

    def test_answer_that_teaches_the_flow(self) -> None:
        """A repetition of its request, still on the way, is no second request."""

        async def async_run() -> None:
            """Let the server repeat an answer to a new companion."""
            fleet, caller = await self.async_lose_tables()
            (server,) = fleet.servers.values()
            server.resend_answer()
            # An opening tells the companion how many slots there are.
            other = fleet.caller()
            await other.async_open()
            await asyncio.sleep(0.5)
            caller.retransmit_request(b"one")
            await asyncio.sleep(0.1)
            self.assertEqual(
                await other.async_send_request(b"two", 1), b"answer to two"
            )

        run_in_virtual_time(async_run())

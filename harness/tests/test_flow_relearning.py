"""Requests on flows that a restarted companion learns from its backend server."""

import asyncio
import unittest
from typing import Final

from harness.flow_fleet import FlowFleet
from harness.virtual_time import run_in_virtual_time
from pomelotrail_core.directory import ServiceShare
from stand_ins.flows import StandInCaller
from stand_ins.flows.endpoints import REQUEST_RETRANSMISSION_TIMEOUT_S

OTHER_SERVICE: Final = "certificate-desk"
# Three packets of a flow must not reach other servers in a span of this length in which
# none reaches its own.
ATTEMPTS_IN_TWO_SECONDS: Final = int(2 / REQUEST_RETRANSMISSION_TIMEOUT_S)


class RelearntFlowTest(unittest.TestCase):
    """Slot counts when packets of a learnt flow are sent twice."""

    async def async_lose_tables(self) -> tuple[FlowFleet, StandInCaller]:
        """Return a one-slot fleet that lost its tables, and a caller with a flow."""
        fleet = FlowFleet(servers=1, slots=1)
        for server in fleet.servers.values():
            server.executes_duplicates = False
        caller = fleet.caller()
        await caller.async_open_and_request(b"one")
        fleet.restart_companions()
        fleet.start_balancer("192.0.2.200")
        return fleet, caller

    def test_request_that_starts_the_lookup_takes_one_slot(self) -> None:
        """The copy that is sent to the owner isn't counted as a second request."""

        async def async_run() -> None:
            """Restart companion and balancer between two requests; send a third."""
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

    def test_flow_learnt_from_an_answer(self) -> None:
        """A late retransmission of its request isn't counted as a second request."""

        async def async_run() -> None:
            """Let the server resend an answer through a new companion."""
            fleet, caller = await self.async_lose_tables()
            (server,) = fleet.servers.values()
            server.resend_answer()
            # The offer of a new flow carries the number of slots to the companion.
            other = fleet.caller()
            await other.async_open()
            await asyncio.sleep(0.5)
            caller.retransmit_request(b"one")
            await asyncio.sleep(0.1)
            self.assertEqual(
                await other.async_send_request(b"two", 1), b"answer to two"
            )

        run_in_virtual_time(async_run())


class FormerServiceTest(unittest.TestCase):
    """Flows that stay open at the service that their route led to before."""

    def test_kill_of_companions_after_a_route_changed(self) -> None:
        """A balancer that saw the change finds the flow."""

        async def async_run() -> None:
            """Send the next request through a balancer without the flow."""
            fleet = FlowFleet(balancers=2, servers=4)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.use_balancer(0)
            fleet.directory().replace(fleet.listing(2, (ServiceShare(OTHER_SERVICE),)))
            fleet.restart_companions()
            self.assertEqual(
                await caller.async_send_request(b"two", 1), b"answer to two"
            )

        run_in_virtual_time(async_run())

    def test_restart_of_all_processes_after_a_route_changed(self) -> None:
        """Guards against flows that stray among the servers of the new service.

        The server that holds the flow gets its packet within two seconds.
        """

        async def async_run(is_one_server_gone: bool) -> None:
            """Restart all while three servers belong to the new service."""
            fleet = FlowFleet(servers=4)
            holder, *others = fleet.servers
            for host in others:
                fleet.move_to_service(host, OTHER_SERVICE)
            fleet.start_balancer("192.0.2.199")
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.restart_companions()
            if is_one_server_gone:
                fleet.network.remove_host(others[0])
            fleet.start_balancer("192.0.2.200", is_listed=False)
            fleet.directory().replace(fleet.listing(2, (ServiceShare(OTHER_SERVICE),)))
            self.assertEqual(
                await caller.async_send_request(b"two", ATTEMPTS_IN_TWO_SECONDS),
                b"answer to two",
            )
            self.assertEqual(fleet.servers[holder].executed_requests, [b"one", b"two"])
            for host in others:
                self.assertEqual(fleet.servers[host].executed_requests, [])

        for is_one_server_gone in (False, True):
            with self.subTest(is_one_server_gone=is_one_server_gone):
                run_in_virtual_time(async_run(is_one_server_gone))

    async def async_lose_tables_after_a_change(
        self,
    ) -> tuple[FlowFleet, StandInCaller, StandInCaller]:
        """Return a fleet, a caller on whose flow the server sends, and another one."""
        fleet = FlowFleet(servers=1)
        silent, resent = fleet.caller(), fleet.caller()
        await silent.async_open_and_request(b"one")
        await resent.async_open_and_request(b"one")
        fleet.restart_companions()
        fleet.start_balancer("192.0.2.200", is_listed=False)
        fleet.directory().replace(fleet.listing(2, (ServiceShare(OTHER_SERVICE),)))
        (server,) = fleet.servers.values()
        server.resend_answer()
        return fleet, resent, silent

    def test_flow_that_is_found_leads_to_others(self) -> None:
        """After a kill of all processes, it tells the former service of a route."""

        async def async_run() -> None:
            """Find a flow, restart its companion, and request on the other flow."""
            fleet, resent, silent = await self.async_lose_tables_after_a_change()
            self.assertEqual(
                await resent.async_send_request(b"two", 1), b"answer to two"
            )
            fleet.restart_companions()
            self.assertEqual(
                await silent.async_send_request(b"two", 1), b"answer to two"
            )

        run_in_virtual_time(async_run())

    def test_companion_that_has_other_flows_of_the_address(self) -> None:
        """After a kill of all processes, it tells the former service of a route."""

        async def async_run() -> None:
            """Request on a flow while the companion has learnt another one."""
            fleet, _, silent = await self.async_lose_tables_after_a_change()
            self.assertEqual(
                await silent.async_send_request(b"two", 1), b"answer to two"
            )
            fleet.log.flush()
            self.assertEqual(fleet.lines.content.count(b"service_learnt"), 1)

        run_in_virtual_time(async_run())


class EndedFlowTest(unittest.TestCase):
    """Data that arrives after the backend server has ended the flow."""

    def test_late_data_occupies_no_slot(self) -> None:
        """The next request runs at once, and the server isn't reported as failing."""

        async def async_run() -> None:
            """Deliver a request late to the only slot, after its flow has ended."""
            fleet = FlowFleet(servers=1, slots=1)
            (server,) = fleet.servers.values()
            (proxy,) = fleet.proxies.values()
            late_caller, other = fleet.caller(), fleet.caller()
            await late_caller.async_open_and_request(b"one")
            server.end_flow(late_caller.packed_address)
            await asyncio.sleep(0.01)
            with self.assertRaises(TimeoutError):
                await late_caller.async_send_request(b"late", 1)
            self.assertEqual(proxy.occupancy, 0)
            opened = asyncio.get_running_loop().time()
            self.assertEqual(
                await other.async_open_and_request(b"two"), b"answer to two"
            )
            self.assertLess(asyncio.get_running_loop().time() - opened, 0.1)

        run_in_virtual_time(async_run())

"""Flows that have lost their backend server, and those that only seem so."""

import asyncio
import unittest

import msgspec

from harness.flow_fleet import FlowFleet
from harness.virtual_time import run_in_virtual_time
from pomelotrail_core.directory import Listing, RemovedItem, ServerItem
from stand_ins.flows import StandInCaller


class EndedFlowTest(unittest.TestCase):
    """Flows whose backend server has lost them."""

    def test_lost_flow_is_reset_by_its_companion(self) -> None:
        """The word of the backend server is enough."""

        async def async_run() -> None:
            """Crash the only server."""
            fleet = FlowFleet(servers=1)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            next(iter(fleet.servers.values())).crash()
            self.assertIsNone(await caller.async_send_request(b"two", 1))

        run_in_virtual_time(async_run())

    def test_flow_that_nobody_holds_is_reset(self) -> None:
        """All companions denied it, and the store knows no others."""

        async def async_run() -> None:
            """Crash everything."""
            fleet, caller = await self.async_crash_everything()
            self.assertIsNone(await caller.async_send_request(b"two", 1))

        run_in_virtual_time(async_run())

    def test_no_reset_while_the_store_is_not_reached(self) -> None:
        """There may be servers that this balancer doesn't know."""

        async def async_run() -> None:
            """Cut the balancer from the store."""
            fleet, caller = await self.async_crash_everything()
            fleet.source.is_reached = False
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 10)
            fleet.source.is_reached = True
            self.assertIsNone(await caller.async_send_request(b"two", 1))

        run_in_virtual_time(async_run())

    def test_no_reset_while_entries_may_come_back(self) -> None:
        """A balancer that started after an outage lacks the owner's entry."""

        async def async_run(is_first_seen: bool) -> None:
            """Let the owner's entry lapse in an outage, then lose the balancers."""
            fleet = FlowFleet(balancers=1)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            (owner,) = [
                h for h, server in fleet.servers.items() if server.executed_requests
            ]
            fleet.directory().record_source_failure("silent")
            if not is_first_seen:
                # The balancer that lived through the outage offers a flow.
                await fleet.caller().async_open_and_request(b"other")
            fleet.start_balancer("192.0.2.200", is_listed=False)
            if is_first_seen:
                fleet.directory().record_source_failure("silent")
                fleet.directory().record_source_reached()
            listed = fleet.listing()
            others = [each for each in listed.items if owner not in str(each)]
            fleet.directory().replace(Listing(tuple(others), listed.revision))
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 5)
            fleet.directory().replace(listed)
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")

        for is_first_seen in (True, False):
            with self.subTest(is_first_seen=is_first_seen):
                run_in_virtual_time(async_run(is_first_seen))

    def test_dead_flow_is_reset_after_an_outage(self) -> None:
        """Two seconds after the store's return, the list is complete."""

        async def async_run() -> None:
            """Start a balancer in an outage, before a flow that nobody holds."""
            fleet, caller = await self.async_crash_everything()
            fleet.start_balancer("192.0.2.201", is_listed=False)
            fleet.directory().record_source_failure("silent")
            fleet.directory().record_source_reached()
            fleet.directory().replace(fleet.listing())
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 5)
            await asyncio.sleep(1)
            self.assertIsNone(await caller.async_send_request(b"two", 1))

        run_in_virtual_time(async_run())

    def test_no_reset_before_all_changes_are_known(self) -> None:
        """A server that is listed now may hold the flow."""

        async def async_run() -> None:
            """Let the store be ahead of the balancer."""
            fleet, caller = await self.async_crash_everything()
            fleet.source.revision += 1
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 10)
            fleet.directory().apply(Listing((), fleet.source.revision))
            self.assertIsNone(await caller.async_send_request(b"two", 1))

        run_in_virtual_time(async_run())

    def test_idle_flow_of_a_server_that_left(self) -> None:
        """Its companion is gone too, and need not deny the flow."""

        async def async_run() -> None:
            """Let the owner's VM vanish and its entry be removed."""
            fleet = FlowFleet(balancers=2)
            fleet.enter_by(0)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.enter_by(index)
            (owner,) = [
                h for h, server in fleet.servers.items() if server.executed_requests
            ]
            fleet.network.remove_host(owner)
            gone = RemovedItem(identity=f"server-{owner}")
            fleet.directory().apply(Listing((gone,), 200))
            await asyncio.sleep(2.1)
            self.assertIsNone(await caller.async_send_request(b"two", 1))

        for index in range(2):
            with self.subTest(index):
                run_in_virtual_time(async_run())

    def test_companion_that_leaves_after_its_server(self) -> None:
        """It resets the flows, so that callers need not find out."""

        async def async_run() -> None:
            """Stop a server and then its companion."""
            fleet = FlowFleet(servers=1)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            (doorway,) = fleet.doorways.values()
            # Nobody listens for connections at the address of this stand-in.
            await doorway.async_leave()
            self.assertIsNone(await caller.async_send_request(b"two", 1))
            self.assertEqual(fleet.counters.value("resets_server_gone"), 1)

        asyncio.run(async_run())

    def test_lost_flow_whose_companion_started_again(self) -> None:
        """The packet that is denied comes back, so no repetition is needed."""

        async def async_run() -> None:
            """Crash the servers with their companions, but no balancer."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.restart_companions(with_servers=True)
            self.assertIsNone(await caller.async_send_request(b"two", 1))

        run_in_virtual_time(async_run())

    async def async_crash_everything(self) -> tuple[FlowFleet, StandInCaller]:
        """Return a caller whose flow only it remembers."""
        fleet = FlowFleet()
        caller = fleet.caller()
        await caller.async_open_and_request(b"one")
        fleet.restart_companions(with_servers=True)
        fleet.start_balancer("192.0.2.200")
        return fleet, caller

    def test_no_reset_while_a_companion_is_silent(self) -> None:
        """Its backend server may hold the flow."""

        async def async_run() -> None:
            """Kill all companions and replace the balancer."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            for host in fleet.servers:
                fleet.stop_companion(host)
            fleet.start_balancer("192.0.2.200")
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 20)

        run_in_virtual_time(async_run())

    def test_power_loss(self) -> None:
        """Companions that started with their servers deny without asking them."""

        async def async_run() -> None:
            """Start servers and companions again at the same time."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            await asyncio.sleep(30)
            now_ms = int(fleet.clock.now().timestamp() * 1000)
            fleet.started_ms = dict.fromkeys(fleet.servers, now_ms - 200)
            fleet.restart_companions(with_servers=True)
            fleet.start_balancer("192.0.2.200")
            self.assertIsNone(await caller.async_send_request(b"two", 1))
            self.assertEqual(
                [s.unknown_flows for s in fleet.servers.values()], [[], [], []]
            )

        run_in_virtual_time(async_run())

    def test_servers_that_register_during_a_lookup(self) -> None:
        """Their companions' denials count, whatever identity the servers have."""

        async def async_run() -> None:
            """Give all servers new identities 2 ms after the packet."""
            fleet, caller = await self.async_crash_everything()
            asking = asyncio.create_task(caller.async_send_request(b"two", 1))
            await asyncio.sleep(0.0025)
            listed = fleet.listing()
            renamed = [
                ServerItem(
                    msgspec.structs.replace(
                        each.server,
                        identity=f"new-{each.server.identity}",
                        revision=each.server.revision + 50,
                    )
                )
                for each in listed.items
                if isinstance(each, ServerItem)
            ]
            fleet.directory().apply(Listing(tuple(renamed), listed.revision))
            # Another flow is placed, which makes the balancer view the new servers.
            await fleet.caller().async_open()
            self.assertIsNone(await asking)

        run_in_virtual_time(async_run())

    def test_companion_that_started_after_its_server(self) -> None:
        """An earlier companion may have let flows in, which the server still holds."""

        async def async_run() -> None:
            """Start the companions a second after their servers."""
            fleet = FlowFleet()
            started_ms = int(fleet.clock.now().timestamp() * 1000)
            fleet.started_ms = dict.fromkeys(fleet.servers, started_ms)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            await asyncio.sleep(1)
            fleet.restart_companions()
            fleet.start_balancer("192.0.2.200")
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")

        run_in_virtual_time(async_run())

    def test_route_that_leads_to_another_service_now(self) -> None:
        """A flow of before goes on where it is, also through another balancer."""

        async def async_run() -> None:
            """Let the route lead elsewhere, and start a balancer after that."""
            fleet = FlowFleet(servers=4)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.start_balancer("192.0.2.200", is_listed=False)
            fleet.directory().replace(fleet.listing(2, "certificate-desk"))
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")

        run_in_virtual_time(async_run())

    def test_server_of_another_service_gets_no_packet_to_find_out(self) -> None:
        """Its companion's doubt stands, and nothing is reset."""

        async def async_run() -> None:
            """Lose all tables when the route leads elsewhere."""
            fleet = FlowFleet(servers=4)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.restart_companions(with_servers=True)
            fleet.start_balancer("192.0.2.200", is_listed=False)
            fleet.directory().replace(fleet.listing(2, "certificate-desk"))
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 5)
            self.assertFalse(any(s.unknown_flows for s in fleet.servers.values()))

        run_in_virtual_time(async_run())

    def test_no_refusal_while_a_companion_is_silent(self) -> None:
        """It may have taken the flow, and its answer may be lost."""

        async def async_run() -> None:
            """Lose what the only companion answers to balancers."""
            fleet = FlowFleet(servers=1)
            (host,) = fleet.servers
            fleet.doorways[host]._send_message = lambda data, target: None
            caller = fleet.caller()
            self.assertTrue(await caller.async_open())
            await asyncio.sleep(1)
            self.assertEqual(fleet.counters.value("resets_nobody_takes_it"), 0)

        run_in_virtual_time(async_run())

    def test_flow_of_a_server_whose_entry_is_gone(self) -> None:
        """Its flow goes on, also through another balancer."""

        async def async_run() -> None:
            """Remove the entries of all servers, one after the other."""
            fleet = FlowFleet(balancers=2)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.enter_by(0)
            for host in fleet.servers:
                gone = RemovedItem(identity=f"server-{host}")
                fleet.directory().apply(Listing((gone,), 200))
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")
            self.assertFalse(await fleet.caller().async_open())

        run_in_virtual_time(async_run())

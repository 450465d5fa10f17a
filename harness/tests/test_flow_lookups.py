"""Flows that a balancer looks up while what it believes changes."""

import asyncio
import unittest

import msgspec

from harness.flow_fleet import FIRST_REVISION, SERVICE_ADDRESS, FlowFleet
from harness.virtual_time import run_in_virtual_time
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.directory import Directory, Listing, RemovedItem, ServerItem
from pomelotrail_core.endpoint import pack_address
from stand_ins.flows import StandInCaller


def listing_without(fleet: FlowFleet, host: str) -> Listing:
    """Return what the store listed before the server of a host registered."""
    items = [each for each in fleet.listing().items if host not in str(each)]
    return Listing(tuple(items), FIRST_REVISION - 1)


class ChangingDirectoryTest(unittest.TestCase):
    """Servers that this balancer learns of during a lookup."""

    async def async_open_at_first(self) -> tuple[FlowFleet, StandInCaller, str]:
        """Return a fleet, a caller, and the host of the server that has its flow."""
        fleet = FlowFleet(servers=3)
        host, *others = fleet.servers
        for other in others:
            fleet.servers[other].answers_opening_packets = False
        caller = fleet.caller()
        self.assertEqual(await caller.async_open_and_request(b"one"), b"answer to one")
        return fleet, caller, host

    def test_server_that_registered_before_the_flow_opened(self) -> None:
        """It is asked too, although the lookup began before this balancer knew it."""

        async def async_run() -> None:
            """Open a flow at a server that only one balancer knows."""
            fleet, caller, newest = await self.async_open_at_first()
            self.assertTrue(fleet.servers[newest].executed_requests)
            fleet.start_balancer("192.0.2.200", is_listed=False)
            fleet.directory().replace(listing_without(fleet, newest))

            def catch_up(directory: Directory) -> None:
                """Read the change that the check has shown to be missing."""
                directory.replace(fleet.listing())

            fleet.on_hasten = catch_up
            self.assertEqual(
                await caller.async_send_request(b"two", 5), b"answer to two"
            )
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 0)

        run_in_virtual_time(async_run())

    def test_address_that_another_server_took_over(self) -> None:
        """The denial for the earlier server says nothing about its successor."""

        async def async_run() -> None:
            """Open a flow at a server that one balancer takes for another one."""
            fleet, caller, host = await self.async_open_at_first()
            fleet.start_balancer("192.0.2.200", is_listed=False)
            earlier = msgspec.structs.replace(
                fleet.entry_of(host, 2),
                identity="earlier",
                service="certificate-desk",
            )
            without = listing_without(fleet, host)
            fleet.directory().replace(
                Listing((*without.items, ServerItem(earlier)), FIRST_REVISION - 1)
            )
            # The companion took the flow again, and its open end is still under way.
            fleet.doorways[host]._book.get(caller_flow(caller)).is_open = False

            def catch_up(directory: Directory) -> None:
                """Read that the address is another server's now."""
                gone = RemovedItem(identity="earlier")
                now = ServerItem(fleet.entry_of(host, FIRST_REVISION))
                directory.apply(Listing((gone, now), FIRST_REVISION))

            fleet.on_hasten = catch_up
            self.assertEqual(
                await caller.async_send_request(b"two", 5), b"answer to two"
            )

        run_in_virtual_time(async_run())


class LookupCostTest(unittest.TestCase):
    """Messages and time that lookups of many flows take."""

    async def async_lose_power(
        self, callers: int, servers: int
    ) -> tuple[FlowFleet, list[StandInCaller]]:
        """Return callers whose flows nobody remembers."""
        fleet = FlowFleet(servers=servers, slots=callers)
        asking = [fleet.caller() for _ in range(callers)]
        for caller in asking:
            await caller.async_open_and_request(b"one")
        now_ms = int(fleet.clock.now().timestamp() * 1000)
        fleet.started_ms = dict.fromkeys(fleet.servers, now_ms - 200)
        fleet.restart_companions(with_servers=True)
        fleet.start_balancer("192.0.2.200")
        return fleet, asking

    def test_messages_grow_with_companions_only(self) -> None:
        """Sixty flows cost hardly more messages than one."""

        async def async_run(callers: int) -> int:
            """Return the datagrams that it takes to reset all flows."""
            fleet, asking = await self.async_lose_power(callers, servers=20)
            sent = fleet.network.sent
            answers = [
                asyncio.create_task(each.async_send_request(b"two", 1))
                for each in asking
            ]
            self.assertEqual(await asyncio.gather(*answers), [None] * callers)
            # Each caller's packet and its reset are datagrams too.
            return fleet.network.sent - sent - 2 * callers

        one = run_in_virtual_time(async_run(1))
        many = run_in_virtual_time(async_run(60))
        self.assertLessEqual(one, 2 * 20)
        # Two stages, a question and an answer each.
        self.assertLessEqual(many, 4 * 20)

    def test_companion_that_starts_late(self) -> None:
        """Its denial is asked for again; the caller's next packet isn't needed."""

        async def async_run() -> None:
            """Start one companion 0.4 s after the caller's only packet."""
            fleet, (caller,) = await self.async_lose_power(1, servers=3)
            host = next(iter(fleet.servers))
            fleet.stop_companion(host)
            asking = asyncio.create_task(caller.async_send_request(b"two", 1))
            with self.assertRaises(TimeoutError):
                await asking
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 0)
            fleet.start_companion(host)
            await asyncio.sleep(0.2)
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 1)

        run_in_virtual_time(async_run())

    def test_lookup_ends_when_its_caller_is_gone(self) -> None:
        """Nobody is asked for ever."""

        async def async_run() -> None:
            """Never start one of the companions again."""
            fleet, (caller,) = await self.async_lose_power(1, servers=3)
            fleet.stop_companion(next(iter(fleet.servers)))
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 1)
            await asyncio.sleep(3)
            sent = fleet.network.sent
            await asyncio.sleep(3)
            self.assertEqual(fleet.network.sent, sent)
            self.assertEqual(fleet.counters.value("lookups_given_up"), 1)

        run_in_virtual_time(async_run())

    def test_denial_of_an_earlier_flow_that_comes_late(self) -> None:
        """It was asked for before the present flow of the same port was opened."""

        async def async_run() -> None:
            """Hold a companion's replies back until its server has the next flow."""
            fleet, (caller,) = await self.async_lose_power(1, servers=3)
            host = next(iter(fleet.servers))
            fleet.stop_companion(host)
            doorway = fleet.start_companion(host)
            held: list[tuple[bytes, Address]] = []
            send = doorway._ownership._send_message
            doorway._ownership._send_message = lambda *reply: held.append(reply)
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 1)
            late, held = held, []
            fleet.start_balancer("192.0.2.201")
            again = fleet.caller()
            again.use_address(caller.packed_address)
            for server in fleet.servers.values():
                server.answers_opening_packets = server.host == host
                server.set_initial_sequence(1_000_000_000)
            self.assertTrue(await again.async_open())
            fleet.enter_by(1)
            asking = asyncio.create_task(again.async_send_request(b"three", 1))
            await asyncio.sleep(0.01)
            self.assertTrue(late)
            for reply in late:
                send(*reply)
            with self.assertRaises(TimeoutError):
                await asking
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 0)

        run_in_virtual_time(async_run())

    def test_port_that_is_used_again(self) -> None:
        """What was denied of an earlier flow doesn't count for the next one."""

        async def async_run() -> None:
            """Use a port again while its earlier flow is looked up."""
            fleet, (caller,) = await self.async_lose_power(1, servers=3)
            hosts = list(fleet.servers)
            fleet.stop_companion(hosts[0])
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 1)
            fleet.start_balancer("192.0.2.201")
            again = fleet.caller()
            again.use_address(caller.packed_address)
            for server in fleet.servers.values():
                server.set_initial_sequence(1_000_000_000)
            self.assertTrue(await again.async_open())
            fleet.enter_by(1)
            self.assertEqual(
                await again.async_send_request(b"three", 5), b"answer to three"
            )

        run_in_virtual_time(async_run())


def caller_flow(caller: StandInCaller) -> bytes:
    """Return the key of a caller's flow."""
    return caller.packed_address + pack_address(SERVICE_ADDRESS)

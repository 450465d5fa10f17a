"""Lookups of flow owners while the directory or the companions change."""

import asyncio
import itertools
import unittest

import msgspec

from harness.flow_fleet import FIRST_REVISION, SERVICE_ADDRESS, FlowFleet, later
from harness.virtual_time import run_in_virtual_time
from pomelotrail_balancer.flow_balancing.const import (
    LOOKUP_RETRY_INTERVAL,
    UNSURE_RETENTION,
)
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.directory import (
    Directory,
    Listing,
    RemovedItem,
    Revision,
    ServerItem,
)
from pomelotrail_core.endpoint import pack_address
from stand_ins.flows import StandInCaller, make_packet


def listing_without(fleet: FlowFleet, host: str) -> Listing:
    """Return what the store listed before the server of a host registered."""
    items = [each for each in fleet.listing().items if host not in str(each)]
    return Listing(tuple(items), later(FIRST_REVISION, -1))


class ChangingDirectoryTest(unittest.TestCase):
    """Backend servers that enter the balancer's directory during a lookup."""

    async def async_open_at_first_server(self) -> tuple[FlowFleet, StandInCaller, str]:
        """Return a fleet, a caller, and the host of the server that has its flow."""
        fleet = FlowFleet(servers=3)
        host, *others = fleet.servers
        for other in others:
            fleet.servers[other].answers_opening_packets = False
        caller = fleet.caller()
        self.assertEqual(await caller.async_open_and_request(b"one"), b"answer to one")
        return fleet, caller, host

    def test_server_that_registered_before_the_flow_opened(self) -> None:
        """The server is queried although it is listed only after the lookup began."""

        async def async_run() -> None:
            """Open a flow at a server that the second balancer hasn't listed yet."""
            fleet, caller, owner = await self.async_open_at_first_server()
            self.assertTrue(fleet.servers[owner].executed_requests)
            fleet.start_balancer("192.0.2.200", is_listed=False)
            fleet.directory().replace(listing_without(fleet, owner))

            def read_missing_changes(directory: Directory) -> None:
                """Read the change that the completeness check found missing."""
                directory.replace(fleet.listing())

            fleet.on_refresh_requested = read_missing_changes
            self.assertEqual(
                await caller.async_send_request(b"two", 5), b"answer to two"
            )
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 0)

        run_in_virtual_time(async_run())

    def test_address_reused_by_another_server(self) -> None:
        """A denial for the earlier server doesn't count for its successor."""

        async def async_run() -> None:
            """Open a flow at a server whose address is listed for its predecessor."""
            fleet, caller, host = await self.async_open_at_first_server()
            fleet.start_balancer("192.0.2.200", is_listed=False)
            earlier = msgspec.structs.replace(
                fleet.server_entry(host, Revision(FIRST_REVISION.era, 2)),
                identity="earlier",
                service="certificate-desk",
            )
            without = listing_without(fleet, host)
            fleet.directory().replace(
                Listing(
                    (*without.items, ServerItem(earlier)), later(FIRST_REVISION, -1)
                )
            )
            # The companion accepted the flow again, and its opening isn't complete yet.
            fleet.proxies[host]._flows.get(caller_flow(caller)).is_open = False

            def read_missing_changes(directory: Directory) -> None:
                """Read the change of the address to its present server."""
                removed = RemovedItem(identity="earlier")
                successor = ServerItem(fleet.server_entry(host, FIRST_REVISION))
                directory.apply(Listing((removed, successor), FIRST_REVISION))

            fleet.on_refresh_requested = read_missing_changes
            self.assertEqual(
                await caller.async_send_request(b"two", 5), b"answer to two"
            )

        run_in_virtual_time(async_run())


class FailingLookupTest(unittest.TestCase):
    """A lookup that raises an error."""

    def test_failing_lookup_affects_no_other(self) -> None:
        """Guards against flows that are never found beside a lookup that fails."""

        async def async_run() -> None:
            """Look up two flows, of which the first one fails."""
            fleet = FlowFleet(servers=3)
            callers = [fleet.caller() for _ in range(2)]
            for caller in callers:
                await caller.async_open_and_request(b"one")
            fleet.start_balancer("192.0.2.200")
            lookups = fleet.balancer()._lookups
            failing = caller_flow(callers[0])
            continue_lookup = lookups._continue_lookup
            continued: list[bytes] = []

            def fail_first(lookup, *arguments) -> None:  # noqa: ANN001, ANN002
                """Fail for the first flow."""
                continued.append(lookup.flow)
                if lookup.flow == failing:
                    raise ValueError("no such companion")
                continue_lookup(lookup, *arguments)

            lookups._continue_lookup = fail_first
            for caller in callers:
                sender = caller.packed_address
                lookups.look_up(
                    make_packet(sender, pack_address(SERVICE_ADDRESS), 1, 1)
                )
            for lookup in lookups._pending.values():
                lookup.due = fleet.clock.monotonic()
            lookups._continue_lookups(fleet.clock.monotonic())
            self.assertEqual(len(continued), 2)
            self.assertNotIn(failing, lookups._pending)
            self.assertEqual(fleet.counters.value("lookups_failed"), 1)

        run_in_virtual_time(async_run())


class LookupCostTest(unittest.TestCase):
    """Message counts and timing of lookups."""

    async def async_simulate_power_loss(
        self, caller_count: int, servers: int
    ) -> tuple[FlowFleet, list[StandInCaller]]:
        """Return a fleet and callers whose flows were lost in a power loss."""
        fleet = FlowFleet(servers=servers, slots=caller_count)
        callers = [fleet.caller() for _ in range(caller_count)]
        for caller in callers:
            await caller.async_open_and_request(b"one")
        fleet.restart_companions(with_servers=True)
        fleet.start_balancer("192.0.2.200")
        return fleet, callers

    def test_messages_grow_with_companions_only(self) -> None:
        """Lookups of sixty flows share messages, so the count is per companion."""

        async def async_run(caller_count: int) -> int:
            """Return the number of datagrams needed to reset all flows."""
            fleet, callers = await self.async_simulate_power_loss(
                caller_count, servers=20
            )
            # Companions that have run for as long as flows last know all of them.
            await asyncio.sleep(fleet.max_flow_duration.total_seconds())
            sent_before = fleet.network.sent
            answers = [
                asyncio.create_task(each.async_send_request(b"two", 1))
                for each in callers
            ]
            self.assertEqual(await asyncio.gather(*answers), [None] * caller_count)
            # Each caller's packet and its reset are datagrams too.
            return fleet.network.sent - sent_before - 2 * caller_count

        one_flow = run_in_virtual_time(async_run(1))
        many_flows = run_in_virtual_time(async_run(60))
        self.assertLessEqual(one_flow, 2 * 20)
        # Two stages with one query and one reply per companion each.
        self.assertLessEqual(many_flows, 4 * 20)

    def test_unsure_companions_are_not_asked(self) -> None:
        """Their servers get the packet at once, through one of the companions."""

        async def async_run() -> None:
            """Restart companions and balancer, and look up the flows of ten callers."""
            fleet = FlowFleet(servers=20, slots=20)
            first, *others = [fleet.caller() for _ in range(11)]
            for caller in (first, *others):
                await caller.async_open_and_request(b"one")
            fleet.restart_companions()
            fleet.start_balancer("192.0.2.200")
            fleet.use_balancer(1)
            await first.async_send_request(b"two", 5)
            # Once all companions have been asked, the balancer knows that none is sure.
            for companion in fleet.companions().possible_owners():
                companion.unsure_until = fleet.clock.monotonic() + UNSURE_RETENTION
            queries_before = fleet.counters.value("lookup_queries")
            for caller in others:
                answer = await caller.async_send_request(b"two", 1)
                self.assertEqual(answer, b"answer to two")
            self.assertEqual(fleet.counters.value("lookup_queries"), queries_before)

        run_in_virtual_time(async_run())

    def test_unsure_companion_of_another_service_is_asked(self) -> None:
        """Its server gets no packet, so only its own reply can end the lookup."""

        async def async_run() -> None:
            """Look up a lost flow after all companions were unsure."""
            fleet, (caller,) = await self.async_simulate_power_loss(1, servers=3)
            other = next(iter(fleet.servers))
            fleet.move_to_service(other, "certificate-desk")
            fleet.directory().replace(fleet.listing(2))
            for companion in fleet.companions().possible_owners():
                companion.unsure_until = fleet.clock.monotonic() + UNSURE_RETENTION
            self.assertIsNone(await caller.async_send_request(b"two", 2))

        run_in_virtual_time(async_run())

    def test_unsure_companions_of_another_service_are_not_waited_for(self) -> None:
        """Their servers decide as soon as those of the route have denied the flow."""

        async def async_run() -> float:
            """Return the seconds until a flow is reset that all servers lost."""
            fleet = FlowFleet(servers=12)
            for host in list(fleet.servers)[:3]:
                fleet.move_to_service(host, "certificate-desk")
            fleet.directory().replace(fleet.listing(2))
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.restart_companions(with_servers=True)
            fleet.start_balancer("192.0.2.200")
            started = asyncio.get_running_loop().time()
            self.assertIsNone(await caller.async_send_request(b"two", 2))
            return asyncio.get_running_loop().time() - started

        self.assertLess(
            run_in_virtual_time(async_run()), LOOKUP_RETRY_INTERVAL.total_seconds()
        )

    def test_servers_that_register_again_after_their_denial(self) -> None:
        """A server at the same address can't have the flow, and gets no more packets.

        After a power loss, servers register under new identities during lookups.
        """

        async def async_run() -> tuple[float, list[int]]:
            """Return the seconds until a reset, and the packets that servers got."""
            fleet, (caller,) = await self.async_simulate_power_loss(1, servers=12)
            entries = [
                msgspec.structs.replace(
                    fleet.server_entry(host, later(FIRST_REVISION, number)),
                    identity=f"new-{host}",
                )
                for number, host in enumerate(fleet.servers, 1)
            ]
            items = tuple(ServerItem(each) for each in entries)
            started = asyncio.get_running_loop().time()
            request = asyncio.create_task(caller.async_send_request(b"two", 2))
            await asyncio.sleep(0.02)
            fleet.source.revision = later(FIRST_REVISION, len(entries))
            fleet.directory().apply(Listing(items, fleet.source.revision))
            self.assertIsNone(await request)
            counts = [len(each.unknown_flows) for each in fleet.servers.values()]
            return asyncio.get_running_loop().time() - started, counts

        seconds, counts = run_in_virtual_time(async_run())
        self.assertLess(seconds, LOOKUP_RETRY_INTERVAL.total_seconds())
        self.assertEqual(counts, [1] * 12)

    def test_companions_that_cannot_reach_each_other(self) -> None:
        """The balancer probes their servers itself when relayed probes fail."""

        async def async_run() -> None:
            """Cut all links between companions, and restart all processes."""
            fleet = FlowFleet(servers=20)
            callers = [fleet.caller() for _ in range(12)]
            for caller in callers:
                await caller.async_open_and_request(b"one")
            fleet.network.blocked_pairs = set(itertools.permutations(fleet.servers, 2))
            fleet.restart_companions()
            fleet.start_balancer("192.0.2.200")
            for caller in callers:
                answer = await caller.async_send_request(b"two", 2)
                self.assertEqual(answer, b"answer to two")

        run_in_virtual_time(async_run())

    def test_companion_that_starts_late(self) -> None:
        """The balancer repeats its query without another packet of the caller."""

        async def async_run() -> None:
            """Start one companion 0.4 s after the caller's only packet."""
            fleet, (caller,) = await self.async_simulate_power_loss(1, servers=3)
            host = next(iter(fleet.servers))
            fleet.stop_companion(host)
            request = asyncio.create_task(caller.async_send_request(b"two", 1))
            with self.assertRaises(TimeoutError):
                await request
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 0)
            fleet.start_companion(host)
            await asyncio.sleep(0.2)
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 1)

        run_in_virtual_time(async_run())

    def test_lookup_expires_when_its_caller_is_gone(self) -> None:
        """Queries stop after the lookup expires."""

        async def async_run() -> None:
            """Keep one of the companions stopped."""
            fleet, (caller,) = await self.async_simulate_power_loss(1, servers=3)
            fleet.stop_companion(next(iter(fleet.servers)))
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 1)
            await asyncio.sleep(3)
            sent_before = fleet.network.sent
            await asyncio.sleep(3)
            self.assertEqual(fleet.network.sent, sent_before)
            self.assertEqual(fleet.counters.value("lookups_given_up"), 1)

        run_in_virtual_time(async_run())

    def test_late_denial_of_an_earlier_flow(self) -> None:
        """A reply about the port's earlier flow doesn't reset the present one."""

        async def async_run() -> None:
            """Delay a companion's replies until its server has the next flow."""
            fleet, (caller,) = await self.async_simulate_power_loss(1, servers=3)
            host = next(iter(fleet.servers))
            fleet.stop_companion(host)
            # It knows that it has accepted all flows, so it denies without its server.
            proxy = fleet.start_companion(host, True)
            delayed_replies: list[tuple[bytes, Address]] = []
            send = proxy._ownership._send_message
            proxy._ownership._send_message = lambda *reply: delayed_replies.append(
                reply
            )
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 1)
            late_replies, delayed_replies = delayed_replies, []
            fleet.start_balancer("192.0.2.201")
            next_caller = fleet.caller()
            next_caller.use_address(caller.packed_address)
            for server in fleet.servers.values():
                server.answers_opening_packets = server.host == host
                server.set_initial_sequence(1_000_000_000)
            self.assertTrue(await next_caller.async_open())
            fleet.use_balancer(1)
            request = asyncio.create_task(next_caller.async_send_request(b"three", 1))
            await asyncio.sleep(0.01)
            self.assertTrue(late_replies)
            for reply in late_replies:
                send(*reply)
            with self.assertRaises(TimeoutError):
                await request
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 0)

        run_in_virtual_time(async_run())

    def test_reused_caller_port(self) -> None:
        """Denials of an earlier flow don't count for the next flow of the same port."""

        async def async_run() -> None:
            """Reuse a port while its earlier flow is looked up."""
            fleet, (caller,) = await self.async_simulate_power_loss(1, servers=3)
            hosts = list(fleet.servers)
            fleet.stop_companion(hosts[0])
            with self.assertRaises(TimeoutError):
                await caller.async_send_request(b"two", 1)
            fleet.start_balancer("192.0.2.201")
            next_caller = fleet.caller()
            next_caller.use_address(caller.packed_address)
            for server in fleet.servers.values():
                server.set_initial_sequence(1_000_000_000)
            self.assertTrue(await next_caller.async_open())
            fleet.use_balancer(1)
            self.assertEqual(
                await next_caller.async_send_request(b"three", 5), b"answer to three"
            )

        run_in_virtual_time(async_run())


def caller_flow(caller: StandInCaller) -> bytes:
    """Return the key of a caller's flow."""
    return caller.packed_address + pack_address(SERVICE_ADDRESS)

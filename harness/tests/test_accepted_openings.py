"""Accepted openings, and packets of other flows between the same addresses."""

import asyncio
import itertools
import unittest
from datetime import timedelta
from typing import Final

from harness.flow_fleet import (
    FLEET_PORT,
    FROM_SERVER_PORT,
    PACKETS_PORT,
    SERVICE,
    SERVICE_ADDRESS,
    FlowFleet,
)
from harness.virtual_time import run_in_virtual_time
from pomelotrail_companion.server_proxy.const import LOST_FLOW_MAX_IDLE
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.endpoint import pack_address
from pomelotrail_core.offers import Offer, Outcome, decode, encode
from stand_ins.flows import CODEC, StandInCaller, make_packet

NEW_BALANCER: Final = "192.0.2.200"
SLOW_REPLY: Final = timedelta(seconds=1)
# Longer than callers retransmit an opening packet, shorter than their requests last.
PAUSE_S: Final = 3.0
MAX_RETRANSMISSION_INTERVAL_S: Final = 1.6


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

    def test_lost_probe_while_replies_are_slow(self) -> None:
        """Guards against the reset of a flow whose first packet was lost on a relay.

        Several companions are unsure, so the packet goes to all of them through one,
        and it is repeated only after two usual reply times.
        """

        async def async_run() -> None:
            """Look the flow up at a balancer that was frozen; relayed probes fail."""
            fleet, caller, owner = await self.async_open(servers=6)
            for host in fleet.servers:
                if host != owner:
                    fleet.stop_companion(host)
                    fleet.start_companion(host)
            fleet.network.blocked_pairs = set(itertools.permutations(fleet.servers, 2))
            fleet.start_balancer(NEW_BALANCER)
            fleet.balancer()._lookups._reply_time.record(SLOW_REPLY)
            answer = await async_send_until_answered(caller, b"one")
            self.assertEqual(answer, b"answer to one")
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 0)

        run_in_virtual_time(async_run())

    def test_first_packet_is_late(self) -> None:
        """The flow is served, also through a balancer that looks it up."""

        async def async_run(uses_new_balancer: bool) -> None:
            """Send the first packet some seconds after the opening."""
            fleet, caller, _ = await self.async_open(servers=3)
            await asyncio.sleep(PAUSE_S)
            if uses_new_balancer:
                fleet.start_balancer(NEW_BALANCER)
            self.assertEqual(await caller.async_send_request(b"one"), b"answer to one")

        for uses_new_balancer in (False, True):
            with self.subTest(uses_new_balancer=uses_new_balancer):
                run_in_virtual_time(async_run(uses_new_balancer))

    def test_server_that_discarded_the_opening(self) -> None:
        """It returns the caller's packet, and the flow is reset at once.

        This doesn't show that the server has started again: it may discard a flow that
        its caller doesn't use.
        """

        async def async_run(uses_new_balancer: bool) -> None:
            """Let the server discard the flow before its first packet."""
            fleet, caller, host = await self.async_open(servers=3)
            await asyncio.sleep(PAUSE_S)
            self.assertLess(timedelta(seconds=PAUSE_S), LOST_FLOW_MAX_IDLE)
            fleet.servers[host].flows.clear()
            if uses_new_balancer:
                fleet.start_balancer(NEW_BALANCER)
            self.assertIsNone(await caller.async_send_request(b"one", 1))
            hosts = [host for host, s in fleet.servers.items() if s.unknown_flows]
            self.assertEqual(hosts, [host])
            self.assertEqual(fleet.counters.value("resets_server_lost_flow"), 1)
            self.assertEqual(fleet.counters.value("resets_nobody_holds_it"), 0)
            self.assertIsNone(fleet.proxies[host]._flows.get(caller_flow(caller)))
            fleet.log.flush()
            self.assertNotIn(b"server_may_be_cold", fleet.lines.content)

        for uses_new_balancer in (False, True):
            with self.subTest(uses_new_balancer=uses_new_balancer):
                run_in_virtual_time(async_run(uses_new_balancer))

    def test_lost_packet_is_repeated_by_the_caller(self) -> None:
        """A retransmission reaches the server at once, not after two reply times."""

        async def async_run() -> None:
            """Lose the packet that the balancer sends to the accepting companion."""
            fleet, caller, host = await self.async_open(servers=3)
            fleet.start_balancer(NEW_BALANCER)
            fleet.balancer()._lookups._reply_time.record(SLOW_REPLY)
            lost: list[bytes] = []

            def lose_first(data: bytes, sender: Address) -> None:
                """Lose the first packet."""
                if lost:
                    fleet.proxies[host].receive_packet(data, sender)
                else:
                    lost.append(data)

            fleet.network.listen((host, PACKETS_PORT), lose_first)
            answer = await caller.async_send_request(b"one", 2)
            self.assertEqual(answer, b"answer to one")
            self.assertTrue(lost)

        run_in_virtual_time(async_run())

    def test_flow_that_two_servers_accepted(self) -> None:
        """Only the server that the caller acknowledged gets its packets."""

        async def async_run() -> None:
            """Open a flow twice, and look it up some seconds later."""
            fleet, caller, first = await self.async_open(servers=2)
            copy = fleet.caller()
            copy.use_address(caller.packed_address)
            await asyncio.sleep(0.2)
            self.assertTrue(await copy.async_open())
            await asyncio.sleep(PAUSE_S)
            fleet.start_balancer(NEW_BALANCER)
            self.assertEqual(await copy.async_send_request(b"one"), b"answer to one")
            self.assertEqual(fleet.servers[first].unknown_flows, [])
            self.assertEqual(fleet.servers[first].executed_requests, [])

        run_in_virtual_time(async_run())

    def test_server_that_accepts_late(self) -> None:
        """The caller may use the flow although its opening was dropped before."""

        async def async_run() -> None:
            """Let the server answer an opening that its companion has dropped."""
            fleet, caller, host = await self.async_open(servers=1)
            proxy, server = fleet.proxies[host], fleet.servers[host]
            proxy._flows.remove(caller_flow(caller))
            opening = make_opening(caller)
            server.set_initial_sequence(caller._expected - 1)
            server.receive(opening, (host, FROM_SERVER_PORT))
            self.assertEqual(await caller.async_send_request(b"one"), b"answer to one")

        run_in_virtual_time(async_run())

    def test_returned_copy_of_the_opening(self) -> None:
        """The server may have the flow, and answers the caller's next packet."""

        async def async_run() -> None:
            """Let a full server return a copy of an opening that it has accepted."""
            fleet, caller, host = await self.async_open(servers=1)
            fleet.servers[host].accepts_flows = False
            offer(fleet, host, make_opening(caller), 4)
            await asyncio.sleep(0.1)
            self.assertEqual(fleet.counters.value("openings_returned"), 1)
            self.assertEqual(await caller.async_send_request(b"one"), b"answer to one")

        run_in_virtual_time(async_run())

    def test_port_that_is_used_for_another_flow(self) -> None:
        """Its opening isn't taken for a copy, and the earlier flow isn't served."""

        async def async_run() -> None:
            """Offer two flows of a port, whose first one isn't used."""
            fleet, caller, host = await self.async_open(servers=1)
            proxy = fleet.proxies[host]
            outcomes: list[Outcome] = []
            send = proxy._admission._send_message
            proxy._admission._send_message = lambda data, target: (
                outcomes.append(decode(data).outcome),
                send(data, target),
            )
            await asyncio.sleep(PAUSE_S)
            for sequence, limit in ((999, 0), (5_000, 0), (5_000, 4)):
                offer(fleet, host, make_opening(caller, sequence), limit)
            accepted, busy = Outcome.ACCEPTED, Outcome.BUSY
            self.assertEqual(outcomes, [accepted, busy, accepted])
            await asyncio.sleep(0.1)
            self.assertIsNone(await caller.async_send_request(b"one"))
            self.assertEqual(fleet.servers[host].executed_requests, [])

        run_in_virtual_time(async_run())

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


async def async_send_until_answered(
    caller: StandInCaller, content: bytes
) -> bytes | None:
    """Send a request and retransmit it as callers do; None if the flow was reset."""
    interval = 0.2
    for _ in range(8):
        try:
            async with asyncio.timeout(interval):
                return await caller.async_send_request(content, 1)
        except TimeoutError:
            pass
        await asyncio.sleep(max(0.0, interval - 0.2))
        interval = min(2 * interval, MAX_RETRANSMISSION_INTERVAL_S)
    raise TimeoutError("no answer")


def make_opening(caller: StandInCaller, sequence: int = 999) -> bytes:
    """Return an opening packet of a caller's port."""
    service = pack_address(SERVICE_ADDRESS)
    packet = make_packet(caller.packed_address, service, sequence, opens=True)
    return CODEC.encode(packet)


def offer(fleet: FlowFleet, host: str, opening: bytes, limit: int) -> None:
    """Offer an opening packet to the companion of a host."""
    message = Offer(1, SERVICE, limit, 4, None, 1, 250, opening)
    fleet.proxies[host].receive_message(encode(message), (NEW_BALANCER, FLEET_PORT))


def caller_flow(caller: StandInCaller) -> bytes:
    """Return the key of a caller's flow."""
    return caller.packed_address + pack_address(SERVICE_ADDRESS)

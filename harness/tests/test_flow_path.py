"""Flows from caller to backend server and back, with failures on the path."""

import asyncio
import unittest

import msgspec

from harness.flow_fleet import FIRST_REVISION, FlowFleet, later
from harness.virtual_time import keep_processor_busy, run_in_virtual_time
from pomelotrail_core.directory import Listing, ServerItem


class FlowPathTest(unittest.TestCase):
    """Open flows survive failures of balancers and companions."""

    def test_request_is_answered(self) -> None:
        """A request reaches a backend server, and its answer the caller."""

        async def async_run() -> bytes | None:
            """Send one request."""
            return await FlowFleet().caller().async_open_and_request(b"one")

        self.assertEqual(run_in_virtual_time(async_run()), b"answer to one")

    def test_duplicate_answer_is_not_mistaken_for_the_next(self) -> None:
        """A caller that retransmits its request on a busy machine gets two answers."""

        async def async_run() -> None:
            """Retransmit a request that is in flight."""
            fleet = FlowFleet(servers=1)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            caller.retransmit_request(b"one")
            await asyncio.sleep(0.1)
            self.assertEqual(
                await caller.async_send_request(b"two", 1), b"answer to two"
            )

        run_in_virtual_time(async_run())

    def test_flow_survives_new_balancer(self) -> None:
        """A balancer with an empty flow table finds the owner."""

        async def async_run() -> None:
            """Move a flow to a balancer that has just started."""
            fleet = FlowFleet(servers=5)
            caller = fleet.caller()
            self.assertEqual(
                await caller.async_open_and_request(b"one"), b"answer to one"
            )
            fleet.start_balancer("192.0.2.200")
            self.assertEqual(
                await caller.async_send_request(b"two", 1), b"answer to two"
            )
            self.assertEqual(
                await caller.async_send_request(b"three", 1), b"answer to three"
            )
            self.assertEqual(
                sum(len(s.unknown_flows) for s in fleet.servers.values()), 0
            )

        run_in_virtual_time(async_run())

    def test_entries_of_another_writer(self) -> None:
        """Guards against callers that nobody serves, and flows that nobody finds."""

        async def async_run() -> None:
            """Write an entry of a service that isn't named for each server."""
            fleet = FlowFleet(balancers=2)
            entries = [
                msgspec.structs.replace(
                    fleet.server_entry(host, later(FIRST_REVISION)),
                    identity=f"inventory-{host}",
                    service="inventory",
                )
                for host in fleet.servers
            ]
            foreign = Listing(tuple(map(ServerItem, entries)), later(FIRST_REVISION))
            fleet.source.revision = foreign.revision
            for index in range(2):
                fleet.use_balancer(index)
                fleet.directory().apply(foreign)
            caller = fleet.caller()
            self.assertEqual(
                await caller.async_open_and_request(b"one"), b"answer to one"
            )
            fleet.use_balancer(0)
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")

        run_in_virtual_time(async_run())

    def test_flow_survives_companion_restart(self) -> None:
        """A restarted companion learns the flows of its server."""

        async def async_run() -> None:
            """Restart every companion, then the balancer."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.restart_companions()
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")
            fleet.start_balancer("192.0.2.200")
            self.assertEqual(
                await caller.async_send_request(b"three"), b"answer to three"
            )

        run_in_virtual_time(async_run())

    def test_flow_survives_restart_of_all_balancers_and_companions(self) -> None:
        """The state in the backend server is sufficient to recover the flow."""

        async def async_run() -> None:
            """Lose all flow tables at once."""
            fleet = FlowFleet(servers=4)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.restart_companions()
            fleet.start_balancer("192.0.2.200")
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")

        run_in_virtual_time(async_run())

    def test_unresponsive_companion_is_skipped(self) -> None:
        """The caller needn't retransmit its opening packet when companions are down."""

        async def async_run() -> None:
            """Kill all companions but one."""
            fleet = FlowFleet()
            for host in list(fleet.servers)[1:]:
                fleet.stop_companion(host)
            caller = fleet.caller()
            self.assertEqual(
                await caller.async_open_and_request(b"one"), b"answer to one"
            )
            self.assertEqual(caller.opening_retransmissions, 0)

        run_in_virtual_time(async_run())

    def test_server_that_ignores_openings_is_skipped(self) -> None:
        """A retransmitted opening packet goes to another backend server."""

        async def async_run() -> None:
            """Let all servers but one ignore opening packets."""
            fleet = FlowFleet()
            for server in list(fleet.servers.values())[1:]:
                server.answers_opening_packets = False
            for _ in range(3):
                caller = fleet.caller()
                self.assertEqual(
                    await caller.async_open_and_request(b"one"), b"answer to one"
                )

        run_in_virtual_time(async_run())

    def test_two_servers_accept_one_flow(self) -> None:
        """Only the server that the caller acknowledged gets the packets."""

        async def async_run() -> None:
            """Open a flow twice, like a caller that lost the first answer."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open()
            second_attempt = fleet.caller()
            second_attempt.use_address(caller.packed_address)
            await second_attempt.async_open()
            self.assertEqual(
                await second_attempt.async_send_request(b"one"), b"answer to one"
            )
            executing_servers = [
                s for s in fleet.servers.values() if s.executed_requests
            ]
            self.assertEqual(len(executing_servers), 1)

        run_in_virtual_time(async_run())


class StartTest(unittest.TestCase):
    """Packets that arrive while a balancer starts."""

    def test_opening_before_the_first_list(self) -> None:
        """The opening packet is placed once the list is read; no retransmission."""

        async def async_run() -> None:
            """List the servers 50 ms after the opening packet was sent."""
            fleet = FlowFleet()
            fleet.start_balancer("192.0.2.200", is_listed=False)
            caller = fleet.caller()
            opening = asyncio.create_task(caller.async_open())
            await asyncio.sleep(0.05)
            fleet.directory().replace(fleet.listing())
            self.assertTrue(await opening)
            self.assertEqual(caller.opening_retransmissions, 0)

        run_in_virtual_time(async_run())

    def test_expired_packets_are_dropped(self) -> None:
        """An opening packet that its caller has given up on reaches no server."""

        async def async_run() -> None:
            """List the servers two seconds later."""
            fleet = FlowFleet()
            fleet.start_balancer("192.0.2.200", is_listed=False)
            self.assertFalse(await fleet.caller().async_open())
            await asyncio.sleep(2)
            fleet.directory().replace(fleet.listing())
            await asyncio.sleep(1)
            self.assertFalse(any(s.opening_times for s in fleet.servers.values()))

        run_in_virtual_time(async_run())

    def test_queued_retransmissions(self) -> None:
        """The flow is opened at one server, not once per retransmission."""

        async def async_run() -> None:
            """Retransmit the opening packet after 100 ms."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open()
            await asyncio.sleep(0.1)
            second_attempt = fleet.caller()
            second_attempt.use_address(caller.packed_address)
            opening = asyncio.create_task(second_attempt.async_open())
            await asyncio.sleep(0.05)
            opening_counts = [len(s.opening_times) for s in fleet.servers.values()]
            self.assertEqual(sum(opening_counts), 1)
            opening.cancel()

        run_in_virtual_time(async_run())


class OverloadTest(unittest.TestCase):
    """A balancer whose processor is overloaded."""

    def test_late_timeout_raises_no_suspicion(self) -> None:
        """A companion whose reply is read late isn't suspected."""

        async def async_run() -> None:
            """Keep the processor busy for 100 ms while an offer is in flight."""
            fleet = FlowFleet()
            loop = asyncio.get_running_loop()
            loop.call_later(0.0015, keep_processor_busy, 0.1)
            caller = fleet.caller()
            self.assertTrue(await caller.async_open())
            self.assertEqual(fleet.counters.value("timeouts_late"), 1)
            opening_counts = [len(s.opening_times) for s in fleet.servers.values()]
            self.assertEqual(sum(opening_counts), 1)
            fleet.log.flush()
            self.assertNotIn(b"suspected", fleet.lines.content)

        run_in_virtual_time(async_run())


class LookupTest(unittest.TestCase):
    """Messages needed to find the owner of a flow."""

    def test_few_companions_are_queried(self) -> None:
        """Most owners are among the preferred companions of the flow."""

        async def async_run() -> None:
            """Move twenty flows among forty servers to a new balancer."""
            fleet = FlowFleet(servers=40)
            callers = [fleet.caller() for _ in range(20)]
            for caller in callers:
                await caller.async_open_and_request(b"one")
            fleet.start_balancer("192.0.2.200")
            sent = fleet.network.sent
            for caller in callers:
                self.assertEqual(
                    await caller.async_send_request(b"two", 1), b"answer to two"
                )
            # For each flow, the request and its answer take four datagrams, and four
            # companions receive a query and reply.
            self.assertLessEqual(fleet.network.sent - sent, 20 * 14)

        run_in_virtual_time(async_run())

    def test_owner_that_is_not_preferred(self) -> None:
        """All other companions are queried a little later, without retransmission."""

        async def async_run() -> None:
            """Fill the servers to which a flow would be offered first."""
            fleet = FlowFleet(servers=12, slots=1)
            for server in fleet.servers.values():
                server.work_s = 0.15
            callers = [fleet.caller() for _ in range(12)]
            await asyncio.gather(
                *(each.async_open_and_request(b"one") for each in callers)
            )
            fleet.start_balancer("192.0.2.200")
            for server in fleet.servers.values():
                server.work_s = 0.02
            for caller in callers:
                self.assertEqual(
                    await caller.async_send_request(b"two", 1), b"answer to two"
                )

        run_in_virtual_time(async_run())

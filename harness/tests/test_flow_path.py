"""The path of a flow from caller to backend server and back, under failure."""

import asyncio
import unittest

from harness.flow_fleet import FlowFleet
from harness.virtual_time import keep_processor_busy, run_in_virtual_time


class FlowPathTest(unittest.TestCase):
    """Flows that are opened, answered and kept."""

    def test_request_is_answered(self) -> None:
        """A request goes to a backend server and its answer comes back."""

        async def async_run() -> bytes | None:
            """Send one request."""
            return await FlowFleet().caller().async_open_and_request(b"one")

        self.assertEqual(run_in_virtual_time(async_run()), b"answer to one")

    def test_repeated_answer_is_not_taken_for_the_next(self) -> None:
        """A caller that repeated its request on a busy machine gets two answers."""

        async def async_run() -> None:
            """Repeat a request that is under way."""
            fleet = FlowFleet(servers=1)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            caller.retransmit_request(b"one")
            await asyncio.sleep(0.1)
            self.assertEqual(
                await caller.async_send_request(b"two", 1), b"answer to two"
            )

        run_in_virtual_time(async_run())

    def test_flow_outlives_its_balancers(self) -> None:
        """A balancer without any table finds the owner."""

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

    def test_flow_outlives_its_companion(self) -> None:
        """A companion that starts again learns the flows of its server."""

        async def async_run() -> None:
            """Kill and start every companion, then the balancer."""
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

    def test_everything_of_ours_starts_again(self) -> None:
        """Only the backend server knows the flow, and that is enough."""

        async def async_run() -> None:
            """Lose every table at once."""
            fleet = FlowFleet(servers=4)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.restart_companions()
            fleet.start_balancer("192.0.2.200")
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")

        run_in_virtual_time(async_run())

    def test_silent_companion_is_passed_over(self) -> None:
        """The caller needs no copy of its opening when a companion is dead."""

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

    def test_server_that_ignores_openings_is_passed_over(self) -> None:
        """The copy of an opening goes to another backend server."""

        async def async_run() -> None:
            """Let all servers but one ignore openings."""
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
        """The server that the caller acknowledged gets the packets, no other."""

        async def async_run() -> None:
            """Open a flow twice, as a caller whose answer was lost."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open()
            copy = fleet.caller()
            copy.use_address(caller.packed_address)
            await copy.async_open()
            self.assertEqual(await copy.async_send_request(b"one"), b"answer to one")
            ran = [s for s in fleet.servers.values() if s.executed_requests]
            self.assertEqual(len(ran), 1)

        run_in_virtual_time(async_run())


class StartTest(unittest.TestCase):
    """Packets that come while a balancer starts."""

    def test_opening_before_the_first_list(self) -> None:
        """It is placed as soon as there is a list, and needs no copy."""

        async def async_run() -> None:
            """List the servers 50 ms after the opening was sent."""
            fleet = FlowFleet()
            fleet.start_balancer("192.0.2.200", is_listed=False)
            caller = fleet.caller()
            opening = asyncio.create_task(caller.async_open())
            await asyncio.sleep(0.05)
            fleet.directory().replace(fleet.listing())
            self.assertTrue(await opening)
            self.assertEqual(caller.opening_retransmissions, 0)

        run_in_virtual_time(async_run())

    def test_old_packets_are_dropped(self) -> None:
        """An opening that its caller has given up reaches no server."""

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

    def test_copies_that_were_queued(self) -> None:
        """The flow is opened at one server, not at one for each copy."""

        async def async_run() -> None:
            """Let a copy follow the opening after 100 ms."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open()
            await asyncio.sleep(0.1)
            copy = fleet.caller()
            copy.use_address(caller.packed_address)
            opening = asyncio.create_task(copy.async_open())
            await asyncio.sleep(0.05)
            openings = [len(s.opening_times) for s in fleet.servers.values()]
            self.assertEqual(sum(openings), 1)
            opening.cancel()

        run_in_virtual_time(async_run())


class OverloadTest(unittest.TestCase):
    """A balancer whose processor doesn't keep up."""

    def test_late_timeout_is_no_silence(self) -> None:
        """A companion whose reply could not be read in time isn't suspected."""

        async def async_run() -> None:
            """Be busy for 100 ms while an offer is on its way."""
            fleet = FlowFleet()
            loop = asyncio.get_running_loop()
            loop.call_later(0.0015, keep_processor_busy, 0.1)
            caller = fleet.caller()
            self.assertTrue(await caller.async_open())
            self.assertEqual(fleet.counters.value("timeouts_late"), 1)
            openings = [len(s.opening_times) for s in fleet.servers.values()]
            self.assertEqual(sum(openings), 1)
            fleet.log.flush()
            self.assertNotIn(b"suspected", fleet.lines.content)

        run_in_virtual_time(async_run())


class LookupTest(unittest.TestCase):
    """What it costs to find the owner of a flow."""

    def test_few_are_asked(self) -> None:
        """Most flows are found among the companions that were preferred."""

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
            # Each flow: the question and its answer take four datagrams, and four
            # companions are asked and answer.
            self.assertLessEqual(fleet.network.sent - sent, 20 * 14)

        run_in_virtual_time(async_run())

    def test_owner_that_is_not_preferred(self) -> None:
        """All others are asked a little later, without a repetition."""

        async def async_run() -> None:
            """Fill the servers that a flow would be offered to first."""
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

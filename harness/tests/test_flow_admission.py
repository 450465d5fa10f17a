"""How many flows and requests a backend server receives, and how others wait."""

import asyncio
import unittest

import msgspec

from harness.flow_fleet import FIRST_REVISION, ROUTE_TIMEOUT, SERVICE, FlowFleet, later
from harness.virtual_time import run_in_virtual_time
from pomelotrail_balancer.placement.const import (
    INITIAL_WORK_ESTIMATE,
    MAX_WAIT_SHARE,
)
from pomelotrail_core.directory import (
    Listing,
    ServerItem,
    ServerState,
    ServiceShare,
)
from pomelotrail_core.endpoint import Endpoint


class AdmissionTest(unittest.TestCase):
    """Placement of new flows by the state and the capacity of backend servers."""

    def test_full_servers_refuse_at_once(self) -> None:
        """A flow that no companion can accept is reset within a few round trips."""

        async def async_run() -> None:
            """Open far more flows at once than there is capacity for."""
            fleet = FlowFleet(servers=2, slots=2)
            for server in fleet.servers.values():
                server.work_s = 5.0
            callers = [fleet.caller() for _ in range(120)]
            opened = await asyncio.gather(*(each.async_open() for each in callers))
            wait = ROUTE_TIMEOUT * MAX_WAIT_SHARE
            self.assertEqual(sum(opened), 4 * (wait // INITIAL_WORK_ESTIMATE))
            self.assertTrue(
                all(caller.opening_retransmissions == 0 for caller in callers)
            )

        run_in_virtual_time(async_run())

    def test_flows_without_a_request_release_capacity(self) -> None:
        """Flows without a request stop counting as load after a quarter of a second."""

        async def async_run() -> None:
            """Open more flows than there is capacity for, and send no request."""
            fleet = FlowFleet(servers=2, slots=1)
            idle_callers = [fleet.caller() for _ in range(40)]
            await asyncio.gather(*(each.async_open() for each in idle_callers))
            await asyncio.sleep(0.3)
            caller = fleet.caller()
            self.assertEqual(
                await caller.async_open_and_request(b"one"), b"answer to one"
            )
            self.assertEqual(caller.opening_retransmissions, 0)

        run_in_virtual_time(async_run())

    def test_server_that_does_not_answer_is_avoided(self) -> None:
        """Once hanging requests fill its slots, new flows go to other servers."""

        async def async_run() -> None:
            """Let one of three servers hang, and send a request every 100 ms."""
            fleet = FlowFleet(servers=3, slots=2)
            hanging_server = next(iter(fleet.servers.values()))
            hanging_server.work_s = 60.0
            sweeps = [each.async_sweep_regularly() for each in fleet.proxies.values()]
            sweeping = asyncio.gather(*sweeps)
            tasks = []
            for _ in range(60):
                caller = fleet.caller()
                tasks.append(asyncio.create_task(caller.async_open_and_request(b"one")))
                await asyncio.sleep(0.1)
            answered_tasks = [
                each for each in tasks if each.done() and not each.exception()
            ]
            self.assertLessEqual(len(hanging_server.opening_times), 2)
            self.assertGreaterEqual(len(answered_tasks), 55)
            for each in (*tasks, sweeping):
                each.cancel()

        run_in_virtual_time(async_run())

    def test_cold_server_stays_within_its_budget(self) -> None:
        """The limit of cold flows per second applies across all balancers."""

        async def async_run() -> None:
            """Open many flows while the only server is cold."""
            fleet = FlowFleet(balancers=3, servers=1, slots=50, cold_flows_per_s=6.0)
            fleet.cold_hosts = set(fleet.servers)
            for index, host in enumerate(("192.0.2.100", "192.0.2.101", "192.0.2.102")):
                fleet.start_balancer(host)
                fleet.use_balancer(index)
                callers = [fleet.caller() for _ in range(10)]
                await asyncio.gather(*(each.async_open() for each in callers))
            (server,) = fleet.servers.values()
            self.assertLessEqual(len(server.opening_times), 6)
            self.assertGreater(len(server.opening_times), 0)

        run_in_virtual_time(async_run())

    def test_server_that_starts_again_under_its_id(self) -> None:
        """Guards against a cold server that balancers take for the warm one before."""

        async def async_run() -> int:
            """Let the server crash, and offer flows while its entry isn't read."""
            fleet = FlowFleet(servers=1, slots=50, cold_flows_per_s=6.0)
            (server,) = fleet.servers.values()
            await asyncio.sleep(2)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            server.crash()
            self.assertIsNone(await caller.async_send_request(b"two"))
            await asyncio.sleep(1)
            callers = [fleet.caller() for _ in range(20)]
            started = len(server.opening_times)
            await asyncio.gather(*(each.async_open() for each in callers))
            return len(server.opening_times) - started

        self.assertLessEqual(run_in_virtual_time(async_run()), 6 * 1.5 + 5)

    def test_server_that_does_not_answer_may_have_started_again(self) -> None:
        """The same, if it had no flow that it could lose."""

        async def async_run() -> int:
            """Open flows while the server is down, and just after."""
            fleet = FlowFleet(servers=1, slots=50, cold_flows_per_s=6.0)
            (server,) = fleet.servers.values()
            await asyncio.sleep(2)
            server.answers_opening_packets = False
            self.assertFalse(await fleet.caller().async_open())
            server.answers_opening_packets = True
            started = len(server.opening_times)
            callers = [fleet.caller() for _ in range(20)]
            await asyncio.gather(*(each.async_open() for each in callers))
            return len(server.opening_times) - started

        self.assertLessEqual(run_in_virtual_time(async_run()), 6 * 1.5 + 5)

    def test_repeated_openings_of_a_server_that_may_be_cold(self) -> None:
        """Guards against openings that are sent to a cold server a second time."""

        async def async_run() -> int:
            """Let a server lose openings, and start again before they are repeated."""
            fleet = FlowFleet(servers=1, slots=50, cold_flows_per_s=6.0)
            (server,) = fleet.servers.values()
            await asyncio.sleep(2)
            server.answers_opening_packets = False
            callers = [fleet.caller() for _ in range(20)]
            opening = [asyncio.create_task(each.async_open()) for each in callers]
            await asyncio.sleep(0.15)
            server.answers_opening_packets = True
            started = len(server.opening_times)
            await asyncio.sleep(0.9)
            count = len(server.opening_times) - started
            for task in opening:
                task.cancel()
            return count

        self.assertLessEqual(run_in_virtual_time(async_run()), 6 * 1.5 + 5)

    def test_server_that_starts_again_at_another_address(self) -> None:
        """Its companion is asked there."""

        async def async_run() -> None:
            """Write the entry of one of two servers with another address."""
            fleet = FlowFleet(servers=2)
            host, other = fleet.servers
            before = fleet.companions().possible_owners()
            self.assertEqual([each.fleet_address[0] for each in before], [host, other])
            moved = msgspec.structs.replace(
                fleet.server_entry(host, later(FIRST_REVISION)),
                endpoint=Endpoint("192.0.2.77", 4002),
            )
            changes = Listing((ServerItem(moved),), later(FIRST_REVISION))
            fleet.directory().apply(changes)
            views = fleet.companions().possible_owners()
            addresses = {each.fleet_address[0] for each in views}
            self.assertEqual(addresses, {"192.0.2.77", other})
            find = fleet.companions().find_by_address
            self.assertIsNone(find(before[0].fleet_address))

        run_in_virtual_time(async_run())

    def test_refusing_server_is_skipped(self) -> None:
        """A returned opening packet is offered to the next companion."""

        async def async_run() -> None:
            """Let all servers but one refuse new flows."""
            fleet = FlowFleet()
            for server in list(fleet.servers.values())[1:]:
                server.accepts_flows = False
            for _ in range(4):
                caller = fleet.caller()
                self.assertEqual(
                    await caller.async_open_and_request(b"one"), b"answer to one"
                )
                self.assertEqual(caller.opening_retransmissions, 0)

        run_in_virtual_time(async_run())

    def test_reused_address_gets_no_packets_of_the_old_service(self) -> None:
        """The companion at the address refuses flows of the earlier service."""

        async def async_run() -> None:
            """Reassign all addresses to another service."""
            fleet = FlowFleet()
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            for host, server in fleet.servers.items():
                server.service = "certificate-desk"
                server.flows.clear()
                server.opening_times.clear()
                fleet.stop_companion(host)
                fleet.start_companion(host)
            self.assertFalse(await fleet.caller().async_open())
            self.assertIsNone(await caller.async_send_request(b"two", 1))
            for server in fleet.servers.values():
                self.assertEqual((server.opening_times, server.unknown_flows), ([], []))

        run_in_virtual_time(async_run())

    def test_leaving_server_gets_no_new_flow(self) -> None:
        """A leaving server keeps its open flows and gets no others."""

        async def async_run() -> None:
            """Mark all servers but one as leaving."""
            fleet = FlowFleet()
            ready, *leaving = fleet.servers
            for host in leaving:
                entry = msgspec.structs.replace(
                    fleet.server_entry(host, later(FIRST_REVISION, 200)),
                    state=ServerState.LEAVING,
                )
                fleet.directory().apply(
                    Listing((ServerItem(entry),), later(FIRST_REVISION, 200))
                )
            for _ in range(5):
                await fleet.caller().async_open_and_request(b"one")
            counts = [
                len(fleet.servers[host].opening_times) for host in (ready, *leaving)
            ]
            self.assertEqual(counts, [5, 0, 0])

        run_in_virtual_time(async_run())


class QueuedRequestsTest(unittest.TestCase):
    """Requests that are queued because no slot is free."""

    def test_server_gets_no_more_than_its_slots(self) -> None:
        """Further requests are queued at the companion and answered later."""

        async def async_run() -> None:
            """Send five requests to a server with two slots."""
            fleet = FlowFleet(servers=1, slots=2)
            (server,) = fleet.servers.values()
            server.work_s = 0.05
            callers = [fleet.caller() for _ in range(5)]
            for caller in callers:
                await caller.async_open()
            requests = [
                asyncio.create_task(each.async_send_request(b"one")) for each in callers
            ]
            await asyncio.sleep(0.04)
            self.assertEqual(len(server.executed_requests), 2)
            answers = await asyncio.gather(*requests)
            self.assertEqual(set(answers), {b"answer to one"})
            self.assertEqual(len(server.executed_requests), 5)

        run_in_virtual_time(async_run())

    def test_crashed_server_releases_its_slot(self) -> None:
        """A crashed server's flows release their slots, so later requests can run."""

        async def async_run() -> None:
            """Crash the server while its only slot is busy."""
            fleet = FlowFleet(servers=1, slots=1)
            (server,) = fleet.servers.values()
            server.work_s = 0.5
            caller = fleet.caller()
            await caller.async_open()
            lost_request = asyncio.create_task(caller.async_send_request(b"one"))
            await asyncio.sleep(0.1)
            server.crash()
            self.assertIsNone(await lost_request)
            server.work_s = 0.02
            self.assertEqual(
                await fleet.caller().async_open_and_request(b"two"), b"answer to two"
            )

        run_in_virtual_time(async_run())


class ServiceSpeedTest(unittest.TestCase):
    """Services that work ten times faster or slower than the first estimate."""

    def test_overload(self) -> None:
        """What is accepted in a burst is answered before its timeout."""

        async def async_run(work_s: float) -> tuple[int, float]:
            """Return the number of answers and the longest response time in a burst."""
            fleet = FlowFleet(servers=2, slots=2)
            for server in fleet.servers.values():
                server.work_s = work_s
            for _ in range(8):
                await fleet.caller().async_open_and_request(b"one")
            callers = [fleet.caller() for _ in range(400)]
            opened = await asyncio.gather(*(each.async_open() for each in callers))
            accepted = [
                caller
                for caller, is_open in zip(callers, opened, strict=True)
                if is_open
            ]
            sent = asyncio.get_running_loop().time()
            await asyncio.gather(
                *(each.async_send_request(b"one", 60) for each in accepted)
            )
            return len(accepted), asyncio.get_running_loop().time() - sent

        for work_s in (0.006, 0.06, 0.6):
            with self.subTest(work_s=work_s):
                answered, longest_s = run_in_virtual_time(async_run(work_s))
                self.assertLess(longest_s, ROUTE_TIMEOUT.total_seconds())
                self.assertGreaterEqual(answered, min(400, 1.6 / work_s))


class SeveralServicesTest(unittest.TestCase):
    """A route whose operators send most new flows to the smaller service."""

    def test_flows_use_the_service_with_free_slots(self) -> None:
        """Requests are on time although one service can't carry its share."""

        async def async_run() -> tuple[list[float], FlowFleet]:
            """Return the response times of 100 requests and the fleet."""
            fleet = FlowFleet(servers=4, slots=2)
            small, *large = fleet.servers
            fleet.move_to_service(small, "certificate-desk")
            shares = (ServiceShare("certificate-desk", 9.0), ServiceShare(SERVICE, 1.0))
            fleet.directory().replace(fleet.listing(2, shares))
            for server in fleet.servers.values():
                server.work_s = 0.06
            tasks = []
            for _ in range(100):
                tasks.append(asyncio.create_task(async_time_request(fleet)))
                await asyncio.sleep(0.015)
            return await asyncio.gather(*tasks), fleet

        response_times, fleet = run_in_virtual_time(async_run())
        self.assertLess(max(response_times), 0.2)
        counts = [len(each.executed_requests) for each in fleet.servers.values()]
        self.assertEqual(counts[0], max(counts))

    def test_service_without_weight_gets_no_flow(self) -> None:
        """A weight of 0 takes a service out, however full the others are."""

        async def async_run() -> FlowFleet:
            """Open more flows than the only server with a weight has slots."""
            fleet = FlowFleet(servers=2, slots=1)
            removed, _ = fleet.servers
            fleet.move_to_service(removed, "certificate-desk")
            shares = (ServiceShare("certificate-desk", 0.0), ServiceShare(SERVICE, 1.0))
            fleet.directory().replace(fleet.listing(2, shares))
            await asyncio.gather(*(async_time_request(fleet) for _ in range(8)))
            return fleet

        fleet = run_in_virtual_time(async_run())
        counts = [len(each.executed_requests) for each in fleet.servers.values()]
        self.assertEqual(counts, [0, 8])


async def async_time_request(fleet: FlowFleet) -> float:
    """Return the seconds in which a request on a new flow is answered."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    await fleet.caller().async_open_and_request(b"one")
    return loop.time() - started

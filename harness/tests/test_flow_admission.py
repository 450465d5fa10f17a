"""What a backend server is given, and what waits."""

import asyncio
import unittest

import msgspec

from harness.flow_fleet import FlowFleet
from harness.virtual_time import run_in_virtual_time
from pomelotrail_core.directory import Listing, ServerItem, ServerState


class AdmissionTest(unittest.TestCase):
    """What a backend server is given."""

    def test_full_servers_refuse_at_once(self) -> None:
        """A flow that nobody can take is reset within a few round trips."""

        async def async_run() -> None:
            """Send far more at once than there is room for."""
            fleet = FlowFleet(servers=2, slots=1)
            for server in fleet.servers.values():
                server.work_s = 5.0
            callers = [fleet.caller() for _ in range(60)]
            opened = await asyncio.gather(*(each.async_open() for each in callers))
            self.assertEqual(sum(opened), 32)
            self.assertTrue(
                all(caller.opening_retransmissions == 0 for caller in callers)
            )

        run_in_virtual_time(async_run())

    def test_abandoned_openings_make_no_server_full(self) -> None:
        """A quarter of a second later, servers look idle again and are."""

        async def async_run() -> None:
            """Open more flows than there is room for, and ask nothing."""
            fleet = FlowFleet(servers=2, slots=1)
            abandoned = [fleet.caller() for _ in range(40)]
            await asyncio.gather(*(each.async_open() for each in abandoned))
            await asyncio.sleep(0.3)
            caller = fleet.caller()
            self.assertEqual(
                await caller.async_open_and_request(b"one"), b"answer to one"
            )
            self.assertEqual(caller.opening_retransmissions, 0)

        run_in_virtual_time(async_run())

    def test_server_that_does_not_answer_is_avoided(self) -> None:
        """After as many requests hung as it has slots, others get the flows."""

        async def async_run() -> None:
            """Let one of three servers hang, and send a request each 100 ms."""
            fleet = FlowFleet(servers=3, slots=2)
            hanging = next(iter(fleet.servers.values()))
            hanging.work_s = 60.0
            sweeps = [each.async_sweep_regularly() for each in fleet.doorways.values()]
            sweeping = asyncio.gather(*sweeps)
            tasks = []
            for _ in range(60):
                caller = fleet.caller()
                tasks.append(asyncio.create_task(caller.async_open_and_request(b"one")))
                await asyncio.sleep(0.1)
            answered = [each for each in tasks if each.done() and not each.exception()]
            self.assertLessEqual(len(hanging.opening_times), 2)
            self.assertGreaterEqual(len(answered), 55)
            for each in (*tasks, sweeping):
                each.cancel()

        run_in_virtual_time(async_run())

    def test_cold_server_gets_what_it_bears(self) -> None:
        """Its budget holds over all balancers."""

        async def async_run() -> None:
            """Open many flows while the only server is cold."""
            fleet = FlowFleet(balancers=3, servers=1, slots=50, cold_flows_per_s=6.0)
            fleet.cold = set(fleet.servers)
            for index, host in enumerate(("192.0.2.100", "192.0.2.101", "192.0.2.102")):
                fleet.start_balancer(host)
                fleet.enter_by(index)
                callers = [fleet.caller() for _ in range(10)]
                await asyncio.gather(*(each.async_open() for each in callers))
            (server,) = fleet.servers.values()
            self.assertLessEqual(len(server.opening_times), 6)
            self.assertGreater(len(server.opening_times), 0)

        run_in_virtual_time(async_run())

    def test_refusing_server_is_passed_over(self) -> None:
        """An opening that comes back goes to the next companion."""

        async def async_run() -> None:
            """Let all servers but one return openings."""
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

    def test_reused_address_gets_nothing_of_the_old_service(self) -> None:
        """The companion there serves another service and says so."""

        async def async_run() -> None:
            """Give all addresses to another service."""
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
        """Only flows that it has go on there."""

        async def async_run() -> None:
            """Let all but one leave."""
            fleet = FlowFleet()
            stays, *leaving = fleet.servers
            for host in leaving:
                entry = msgspec.structs.replace(
                    fleet.entry_of(host, 300), state=ServerState.LEAVING
                )
                fleet.directory().apply(Listing((ServerItem(entry),), 300))
            for _ in range(5):
                await fleet.caller().async_open_and_request(b"one")
            counts = [
                len(fleet.servers[host].opening_times) for host in (stays, *leaving)
            ]
            self.assertEqual(counts, [5, 0, 0])

        run_in_virtual_time(async_run())


class WaitingTest(unittest.TestCase):
    """Requests that find no free slot."""

    def test_server_gets_no_more_than_its_slots(self) -> None:
        """The rest waits at the companion and is answered in the end."""

        async def async_run() -> None:
            """Send five requests to two slots."""
            fleet = FlowFleet(servers=1, slots=2)
            (server,) = fleet.servers.values()
            server.work_s = 0.05
            callers = [fleet.caller() for _ in range(5)]
            for caller in callers:
                await caller.async_open()
            asking = [
                asyncio.create_task(each.async_send_request(b"one")) for each in callers
            ]
            await asyncio.sleep(0.04)
            self.assertEqual(len(server.executed_requests), 2)
            answers = await asyncio.gather(*asking)
            self.assertEqual(set(answers), {b"answer to one"})
            self.assertEqual(len(server.executed_requests), 5)

        run_in_virtual_time(async_run())

    def test_slot_of_a_server_that_lost_its_flows_is_free_again(self) -> None:
        """A crash doesn't block the requests that come after it."""

        async def async_run() -> None:
            """Crash the server while its only slot is busy."""
            fleet = FlowFleet(servers=1, slots=1)
            (server,) = fleet.servers.values()
            server.work_s = 0.5
            caller = fleet.caller()
            await caller.async_open()
            lost = asyncio.create_task(caller.async_send_request(b"one"))
            await asyncio.sleep(0.1)
            server.crash()
            self.assertIsNone(await lost)
            server.work_s = 0.02
            self.assertEqual(
                await fleet.caller().async_open_and_request(b"two"), b"answer to two"
            )

        run_in_virtual_time(async_run())

"""Admission of flows by the expected wait, where servers run one request at a time."""

import asyncio
import unittest
from typing import Final

import msgspec

from harness.flow_fleet import FLEET_PORT, ROUTE_TIMEOUT, SERVICE, FlowFleet
from harness.virtual_time import run_in_virtual_time
from pomelotrail_balancer.placement.const import INITIAL_WORK_ESTIMATE, MAX_WAIT_SHARE
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.directory import ConfigurationItem, Listing
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.offers import Offer, encode
from stand_ins.flows import CODEC, StandInCaller, make_packet

_TARGET_S: Final = 0.25
_URGENT_ADDRESS: Final = ("198.51.100.2", 443)


def _start_fleet(servers: int, work_s: float) -> FlowFleet:
    """Return a fleet whose servers run one request of a given time at once."""
    fleet = FlowFleet(servers=servers, slots=1)
    for server in fleet.servers.values():
        server.work_s = work_s
    return fleet


def _add_urgent_route(fleet: FlowFleet) -> None:
    """Publish a second route to the service, with a higher priority."""
    listing = fleet.listing(2)
    (route,) = listing.items[0].configuration.routes.values()
    endpoint = Endpoint(*_URGENT_ADDRESS)
    urgent = msgspec.structs.replace(
        route, name="urgent", endpoint=endpoint, priority=0
    )
    configuration = msgspec.structs.replace(
        listing.items[0].configuration,
        routes={route.endpoint.pack(): route, endpoint.pack(): urgent},
    )
    items = (ConfigurationItem(configuration), *listing.items[1:])
    fleet.directory().replace(Listing(items, listing.revision))


async def _async_time(caller: StandInCaller) -> float:
    """Return the seconds in which a request on a new flow is answered."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    answer = await caller.async_open_and_request(b"one")
    return loop.time() - started if answer is not None else float("inf")


async def _async_send_regularly(
    fleet: FlowFleet, count: int, interval_s: float, address: Address | None = None
) -> list[float]:
    """Send requests on flows of their own; return their response times."""
    tasks = []
    for _ in range(count):
        caller = fleet.callers.caller(address) if address else fleet.caller()
        tasks.append(asyncio.create_task(_async_time(caller)))
        await asyncio.sleep(interval_s)
    times = await asyncio.gather(*tasks, return_exceptions=True)
    return [each if isinstance(each, float) else float("inf") for each in times]


class OpeningWaitTest(unittest.TestCase):
    """Loads at which the wait decides which flows are accepted."""

    def test_full_servers_refuse_at_once(self) -> None:
        """The flow that would wait for longer than allowed is reset at once."""

        async def async_run() -> None:
            """Open far more flows at once than there is capacity for."""
            fleet = FlowFleet(servers=2, slots=1)
            callers = [fleet.caller() for _ in range(60)]
            opened = await asyncio.gather(*(each.async_open() for each in callers))
            ahead = ROUTE_TIMEOUT * MAX_WAIT_SHARE // INITIAL_WORK_ESTIMATE
            self.assertEqual(sum(opened), 2 * (ahead + 1))
            retransmissions = {each.opening_retransmissions for each in callers}
            self.assertEqual(retransmissions, {0})

        run_in_virtual_time(async_run())

    def test_backlog_of_late_requests(self) -> None:
        """New requests are answered in time while those of an outage are served."""

        async def async_run() -> list[float]:
            """Open more flows than are served in time, then send new requests."""
            fleet = _start_fleet(servers=2, work_s=0.05)
            callers = [fleet.caller() for _ in range(80)]
            backlog = [asyncio.create_task(_async_time(each)) for each in callers]
            await asyncio.sleep(0.4)
            times = await _async_send_regularly(fleet, 5, 0.1)
            self.assertFalse(all(each.done() for each in backlog))
            await asyncio.gather(*backlog, return_exceptions=True)
            return times

        self.assertLess(max(run_in_virtual_time(async_run())), _TARGET_S)

    def test_long_burst(self) -> None:
        """At twice the capacity, most of what is served is on time for seconds."""

        async def async_run() -> list[float]:
            """Send 160 requests a second to servers that run 80."""
            fleet = _start_fleet(servers=4, work_s=0.05)
            return await _async_send_regularly(fleet, 480, 1 / 160)

        times = run_in_virtual_time(async_run())
        on_time = sum(each <= _TARGET_S for each in times)
        answered = sum(each <= ROUTE_TIMEOUT.total_seconds() for each in times)
        self.assertGreaterEqual(on_time, 0.9 * 240)
        self.assertLess(answered - on_time, 0.25 * 480)

    def test_urgent_flows_in_a_burst(self) -> None:
        """Urgent requests are on time while ordinary ones fill the servers."""

        async def async_run() -> tuple[list[float], list[float]]:
            """Send twice the capacity, of which a tenth is urgent."""
            fleet = _start_fleet(servers=4, work_s=0.05)
            _add_urgent_route(fleet)
            return await asyncio.gather(
                _async_send_regularly(fleet, 40, 1 / 16, _URGENT_ADDRESS),
                _async_send_regularly(fleet, 360, 1 / 144),
            )

        urgent, ordinary = run_in_virtual_time(async_run())
        self.assertLess(max(urgent), _TARGET_S)
        self.assertGreater(sum(each <= _TARGET_S for each in ordinary), 0.3 * 360)

    def test_server_hangs_in_a_burst(self) -> None:
        """Only the flows that a server had when it stopped responding are lost."""

        async def async_run() -> list[float]:
            """Let one of four servers hang while all are busy."""
            fleet = _start_fleet(servers=4, work_s=0.05)
            sending = asyncio.create_task(_async_send_regularly(fleet, 180, 1 / 60))
            await asyncio.sleep(1)
            next(iter(fleet.servers.values())).work_s = 60.0
            return await asyncio.wait_for(sending, 60)

        times = run_in_virtual_time(async_run())
        self.assertGreaterEqual(sum(each <= 2 * _TARGET_S for each in times), 165)

    def test_companions_restart_in_a_burst(self) -> None:
        """Companions that know nothing of their queues accept flows in time again."""

        async def async_run() -> list[float]:
            """Restart all companions while their servers are busy."""
            fleet = _start_fleet(servers=4, work_s=0.05)
            sending = asyncio.create_task(_async_send_regularly(fleet, 120, 1 / 60))
            await asyncio.sleep(1)
            fleet.restart_companions()
            await sending
            return await _async_send_regularly(fleet, 40, 1 / 60)

        times = run_in_virtual_time(async_run())
        self.assertLess(max(times), _TARGET_S)

    def test_retransmission_counts_once(self) -> None:
        """Offers of one flow are one accepted flow, and their lines tell the limits."""

        async def async_run() -> tuple[list[int | None], int]:
            """Offer a flow twice, as for a retransmission of its opening packet."""
            fleet = _start_fleet(servers=1, work_s=0.05)
            (companion,) = fleet.servers
            send = fleet.network.sender(("192.0.2.99", FLEET_PORT))
            caller, service = Endpoint("198.51.100.9", 9), Endpoint("198.51.100.1", 443)
            data = CODEC.encode(make_packet(caller.pack(), service.pack(), opens=True))
            for number, age_ms in ((1, 0), (2, 200)):
                offer = Offer(number, SERVICE, 1, 1, None, 1, 250, data)
                offer = msgspec.structs.replace(offer, age_ms=age_ms, max_wait_ms=0)
                send(encode(offer), (companion, FLEET_PORT))
            await asyncio.sleep(1)
            fleet.log.flush()
            logged = fleet.lines.content.count(b'"max_wait_ms":0')
            kinds = ("on_time", "late")
            names = [f"flows_{kind}_priority_1" for kind in kinds]
            return [fleet.counters.value(name) or 0 for name in names], logged

        self.assertEqual(run_in_virtual_time(async_run()), ([1, 0], 2))

    def test_several_slots(self) -> None:
        """Where servers have several slots, offers tell no age."""

        async def async_run() -> bytes:
            """Serve a request and return the log."""
            fleet = FlowFleet(servers=2, slots=2)
            await fleet.caller().async_open_and_request(b"one")
            return fleet.lines.content

        self.assertNotIn(
            b"age_ms", run_in_virtual_time(async_run()).replace(b"report_age_ms", b"")
        )

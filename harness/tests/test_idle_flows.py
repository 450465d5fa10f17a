"""Flows that are idle for as long as operators allow, or whose companion is young."""

import asyncio
import unittest
from datetime import timedelta

import msgspec

from harness.flow_fleet import FLEET_PORT, SERVICE, FlowFleet
from harness.virtual_time import run_in_virtual_time
from stand_ins.flows import CODEC, make_packet


def start_sweeps(fleet: FlowFleet) -> list[asyncio.Task]:
    """Let all companions of a fleet remove expired flows, until they are cancelled."""
    proxies = fleet.proxies.values()
    return [asyncio.create_task(each.async_sweep_regularly()) for each in proxies]


class IdleFlowTest(unittest.TestCase):
    """They are found at their companion and aren't reset."""

    def test_flow_that_is_idle_for_as_long_as_operators_allow(self) -> None:
        """Its companion still knows it, so that another balancer finds it."""

        async def async_run() -> None:
            """Send a request just before the idle timeout, which is 45 s by then.

            Guards against companions that know only the idle timeout of the last
            offer: nothing is offered here after the timeout was raised.
            """
            fleet = FlowFleet(servers=2)
            sweeps = start_sweeps(fleet)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            await asyncio.sleep(44)
            fleet.start_balancer("192.0.2.200")
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")
            for sweep in sweeps:
                sweep.cancel()

        run_in_virtual_time(async_run())

    def test_idle_timeout_that_only_an_earlier_offer_named(self) -> None:
        """Guards against a reset within an idle timeout that was raised since."""

        async def async_run() -> None:
            """Let a balancer of an earlier version offer a flow, naming 15 s."""
            fleet = FlowFleet(servers=2)
            sweeps = start_sweeps(fleet)
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            opening = CODEC.encode(make_packet(b"caller", b"server", opens=True))
            basis = [1, 1, SERVICE, 4, 4, None, 1, 250, opening, 0, 0]
            data = msgspec.msgpack.encode([*basis, 15_000])
            send = fleet.network.sender(("192.0.2.250", FLEET_PORT))
            for host in fleet.servers:
                send(data, (host, FLEET_PORT))
            await asyncio.sleep(27)
            self.assertEqual(fleet.counters.value("offers_accepted"), 3)
            fleet.start_balancer("192.0.2.200")
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")
            for sweep in sweeps:
                sweep.cancel()

        run_in_virtual_time(async_run())

    def test_companion_that_runs_for_less_than_a_flow_may_last(self) -> None:
        """It doesn't deny flows of which it has seen no packet."""

        async def async_run() -> None:
            """Send a request 70 s after the companions have started again."""
            fleet = FlowFleet(servers=2, max_flow_duration=timedelta(seconds=120))
            caller = fleet.caller()
            await caller.async_open_and_request(b"one")
            fleet.restart_companions()
            await asyncio.sleep(70)
            fleet.start_balancer("192.0.2.200")
            self.assertEqual(await caller.async_send_request(b"two"), b"answer to two")

        run_in_virtual_time(async_run())

"""Tests of serving metrics at an address that may be in use."""

import socket
import unittest

import aiohttp

from harness.captured_logs import captured_logs
from harness.fake_clock import FakeClock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.metrics import Metrics
from pomelotrail_core.metrics.const import SERVE_RETRY_INTERVAL
from stand_ins.loopback_networks import ClaimedNetwork


class ServingTest(unittest.IsolatedAsyncioTestCase):
    """A process starts without its metrics and serves them later."""

    async def test_address_held_by_another_program(self) -> None:
        """Guards against a process that ends for the address of its metrics."""
        holder = self._hold_address()
        endpoint = Endpoint(*holder.getsockname())
        clock = FakeClock()
        metrics = Metrics("balancer-1", "veraval", clock)
        self.addAsyncCleanup(metrics.async_stop)
        with captured_logs(self) as lines:
            await metrics.async_start(endpoint)
            await clock.async_advance(SERVE_RETRY_INTERVAL)
        self.assertEqual(len(lines), 2)
        self.assertRegex(lines[0], f"{endpoint} .*in use.*change 'metrics'")
        holder.close()
        while not await self._async_is_served(endpoint):
            await clock.async_advance(SERVE_RETRY_INTERVAL)

    async def test_stop_while_the_address_is_held(self) -> None:
        """A process whose metrics were never served stops."""
        with self._hold_address() as holder, captured_logs(self):
            metrics = Metrics("balancer-1", "veraval", FakeClock())
            await metrics.async_start(Endpoint(*holder.getsockname()))
            await metrics.async_stop()

    def _hold_address(self) -> socket.socket:
        """Return a socket that listens at an address of its own."""
        network = ClaimedNetwork()
        self.addCleanup(network.release)
        holder = socket.socket()
        self.addCleanup(holder.close)
        holder.bind((f"{network.prefix}.1.1", 0))
        holder.listen()
        return holder

    async def _async_is_served(self, endpoint: Endpoint) -> bool:
        """Return whether the metrics can be read at an address."""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{endpoint}/metrics") as response,
            ):
                return response.status == 200
        except aiohttp.ClientError:
            return False

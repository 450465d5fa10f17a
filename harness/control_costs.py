"""Measures the cost of single control messages and connections.

docs/CAPACITY.md gives the figures.
"""

import asyncio
import random
import ssl
import time
from datetime import timedelta
from typing import Final

import attrs

from harness.builders import configuration
from harness.fleet import PortReserver
from harness.spread_fleet import SEGMENT_OVERHEAD_BYTES, ByteCounter
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.configuration import Balancer
from pomelotrail_core.membership.heartbeats import Heartbeats
from pomelotrail_core.membership.monitor import Monitor
from pomelotrail_core.membership.monitor_table import MonitorTable
from pomelotrail_core.peers import ControlServer, PeerSecurity
from pomelotrail_core.spread import GrpcNetwork
from pomelotrail_core.timeline import Recorder

CLOCK_SPEEDUP: Final = 30
COMPANION_COUNT: Final = 20
HANDSHAKE_COUNT: Final = 50


@attrs.frozen
class HandshakeCost:
    """Cost of one TLS handshake: bytes and CPU time of both endpoints together."""

    bytes: int
    core_ms: float


@attrs.frozen
class HeartbeatCost:
    """Cost of one heartbeat on an open stream.

    ``bytes`` is counted at one endpoint, ``core_us`` is the CPU time of both.
    """

    bytes: float
    core_us: float


class _CountingTable(MonitorTable):
    """Counts heartbeats."""

    heartbeat_count = 0

    def record_heartbeat(self, name: str) -> None:
        """Count one heartbeat and record it."""
        self.heartbeat_count += 1
        super().record_heartbeat(name)


class _FastClock(SystemClock):
    """Shortens each sleep, so that heartbeats are sent more often."""

    async def async_sleep(self, delay: timedelta) -> None:
        """Sleep for the delay divided by ``CLOCK_SPEEDUP``."""
        await asyncio.sleep(delay.total_seconds() / CLOCK_SPEEDUP)


def measure_handshake(security: PeerSecurity) -> HandshakeCost:
    """Measure TLS handshakes between two endpoints in memory."""
    started, sent = time.process_time(), 0
    for _ in range(HANDSHAKE_COUNT):
        sent = _handshake(security)
    core = (time.process_time() - started) / HANDSHAKE_COUNT
    return HandshakeCost(sent, 1_000 * core)


def _handshake(security: PeerSecurity) -> int:
    """Run one handshake and return the bytes sent by both endpoints."""
    assert security.client is not None and security.server is not None
    client_in, client_out = ssl.MemoryBIO(), ssl.MemoryBIO()
    server_in, server_out = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = security.client.wrap_bio(client_in, client_out, server_hostname="peer")
    server = security.server.wrap_bio(server_in, server_out, server_side=True)
    unfinished, sent = [client, server], 0
    while unfinished:
        for endpoint in list(unfinished):
            try:
                endpoint.do_handshake()
                unfinished.remove(endpoint)
            except ssl.SSLWantReadError:
                pass
            sent += _transfer(client_out, server_in) + _transfer(server_out, client_in)
    return sent


def _transfer(source: ssl.MemoryBIO, target: ssl.MemoryBIO) -> int:
    """Move buffered data to the other buffer and return its size on the wire."""
    data = source.read()
    target.write(data)
    return len(data) + (SEGMENT_OVERHEAD_BYTES if data else 0)


async def async_measure_heartbeats(seconds: float) -> HeartbeatCost:
    """Measure heartbeats of companions to one monitor over real streams."""
    endpoint = PortReserver().reserve()
    clock = SystemClock()
    recorder = Recorder("monitor", "zone", clock)
    table = _CountingTable(clock)
    network, rng = GrpcNetwork(), random.Random()
    monitor = Monitor("monitor", table, lambda: None, network, clock, recorder, rng)
    server = ControlServer(endpoint, [monitor])
    await server.async_start()
    balancer = Balancer("monitor", "zone", endpoint, endpoint)
    current = attrs.evolve(configuration(), balancers=(balancer,))
    senders = [
        Heartbeats(f"companion-{number}", _FastClock())
        for number in range(COMPANION_COUNT)
    ]
    for sender in senders:
        sender.configure(current)
    await asyncio.sleep(1)
    counter, before = ByteCounter(), table.heartbeat_count
    started = time.process_time()
    await asyncio.sleep(seconds)
    core = time.process_time() - started
    counter.stop()
    count = table.heartbeat_count - before
    for sender in senders:
        sender.stop()
    await server.async_stop()
    return HeartbeatCost(sum(counter.bytes.values()) / count / 2, 1e6 * core / count)

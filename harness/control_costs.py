"""What single control messages and connections cost, for the capacity page."""

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

SPEED: Final = 30
COMPANIONS: Final = 20
HANDSHAKES: Final = 50


@attrs.frozen
class HandshakeCost:
    """One TLS handshake, both ends together."""

    bytes: int
    core_ms: float


@attrs.frozen
class HeartbeatCost:
    """One heartbeat on an open stream: bytes at one end, time of both."""

    bytes: float
    core_us: float


class _CountingTable(MonitorTable):
    """Counts heartbeats."""

    beats = 0

    def record_heartbeat(self, name: str) -> None:
        """Count one heartbeat."""
        self.beats += 1
        super().record_heartbeat(name)


class _FastClock(SystemClock):
    """Sleeps for a fraction of the time, so that many heartbeats are sent."""

    async def async_sleep(self, delay: timedelta) -> None:
        """Sleep shorter."""
        await asyncio.sleep(delay.total_seconds() / SPEED)


def measure_handshake(security: PeerSecurity) -> HandshakeCost:
    """Shake hands in memory and count."""
    started, sent = time.process_time(), 0
    for _ in range(HANDSHAKES):
        sent = _handshake(security)
    core = (time.process_time() - started) / HANDSHAKES
    return HandshakeCost(sent, 1_000 * core)


def _handshake(security: PeerSecurity) -> int:
    """Shake hands once; return the bytes that both ends have sent."""
    assert security.client is not None and security.server is not None
    client_in, client_out = ssl.MemoryBIO(), ssl.MemoryBIO()
    server_in, server_out = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = security.client.wrap_bio(client_in, client_out, server_hostname="peer")
    server = security.server.wrap_bio(server_in, server_out, server_side=True)
    open_ends, sent = [client, server], 0
    while open_ends:
        for end in list(open_ends):
            try:
                end.do_handshake()
                open_ends.remove(end)
            except ssl.SSLWantReadError:
                pass
            sent += _move(client_out, server_in) + _move(server_out, client_in)
    return sent


def _move(source: ssl.MemoryBIO, target: ssl.MemoryBIO) -> int:
    """Carry what waits in one buffer to the other; return the bytes."""
    data = source.read()
    target.write(data)
    return len(data) + (SEGMENT_OVERHEAD_BYTES if data else 0)


async def async_measure_heartbeats(seconds: float) -> HeartbeatCost:
    """Let companions send heartbeats to one monitor over real streams."""
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
        Heartbeats(f"companion-{number}", _FastClock()) for number in range(COMPANIONS)
    ]
    for sender in senders:
        sender.configure(current)
    await asyncio.sleep(1)
    counter, before = ByteCounter(), table.beats
    started = time.process_time()
    await asyncio.sleep(seconds)
    core = time.process_time() - started
    counter.stop()
    count = table.beats - before
    for sender in senders:
        sender.stop()
    await server.async_stop()
    return HeartbeatCost(sum(counter.bytes.values()) / count / 2, 1e6 * core / count)

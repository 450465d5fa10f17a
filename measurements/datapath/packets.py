"""Processor time per packet of the balancer and of a bare relay."""

import asyncio
import random
import socket
import statistics
import time
from collections.abc import Callable
from typing import Final

import attrs
import uvloop

from harness.builders import FLEET_KEY, configuration, routing_token, token_keys
from measurements.interface import Figures
from pomelotrail_balancer.forwarding import Forwarder, PacketCounter, ServiceSocket
from pomelotrail_balancer.return_path import FleetSocket
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.membership import Roster
from pomelotrail_core.metrics import Metrics
from pomelotrail_core.routing import (
    Encapsulation,
    RendezvousRanking,
    ReturnedPacket,
    TokenIssuer,
    TokenReader,
)
from pomelotrail_core.routing.version_watch import VersionWatch

PACKET_BYTES: Final = 1_200
BATCH_PACKETS: Final = 64
FLOWS: Final = 2_000
_LOOPBACK: Final = ("127.0.0.1", 0)
_MICROSECONDS: Final = 1e6


class _BareRelay(asyncio.DatagramProtocol):
    """Forwards every packet unchanged."""

    def __init__(self, target: tuple[str, int]) -> None:
        """Initialize with the target address."""
        self._target = target
        self._transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward one packet."""
        assert self._transport is not None
        self._transport.sendto(data, self._target)


@attrs.define
class _PacketPath:
    """A path of packets: the address to send to, and the source of its packets."""

    name: str
    address: tuple[str, int]
    next_packet: Callable[[], bytes]
    times_us: list[float] = attrs.Factory(list)


def measure_packets(seed: int, rounds: int) -> Figures:
    """Return microseconds of processor time per packet."""
    return uvloop.new_event_loop().run_until_complete(_async_measure(seed, rounds))


async def _async_measure(seed: int, rounds: int) -> Figures:
    """Send batches through the relay and the balancer alternately."""
    sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sink.bind(_LOOPBACK)
    sink.setblocking(False)
    source = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    source.bind(_LOOPBACK)
    paths = await _async_open_paths(random.Random(seed), sink.getsockname(), source)
    for round_number in range(rounds):
        for path in paths:
            elapsed = await _async_measure_batch(path, source, sink)
            if round_number:
                path.times_us.append(elapsed)
    sink.close()
    source.close()
    return _figures({path.name: statistics.median(path.times_us) for path in paths})


def _figures(median: dict[str, float]) -> Figures:
    """Return the figures of the paths; the ratio is the mean of both directions."""
    balancer = (median["forward"] + median["return"]) / 2
    return {
        "balancer_us_per_packet": round(balancer, 2),
        "bare_relay_us_per_packet": round(median["bare"], 2),
        "ratio": round(balancer / median["bare"], 2),
        "forward_us_per_packet": round(median["forward"], 2),
        "return_us_per_packet": round(median["return"], 2),
        "opening_us_per_packet": round(median["opening"], 2),
    }


async def _async_measure_batch(
    path: _PacketPath, source: socket.socket, sink: socket.socket
) -> float:
    """Return the microseconds per packet of one batch."""
    for _ in range(BATCH_PACKETS):
        source.sendto(path.next_packet(), path.address)
    received = 0
    start = time.thread_time()
    while received < BATCH_PACKETS:
        await asyncio.sleep(0)
        receive_start = time.thread_time()
        received += _receive_all(sink)
        start += time.thread_time() - receive_start
    return (time.thread_time() - start) / BATCH_PACKETS * _MICROSECONDS


def _receive_all(sink: socket.socket) -> int:
    """Receive all packets that have reached the sink; return their number."""
    count = 0
    while True:
        try:
            sink.recv(2 * PACKET_BYTES)
        except BlockingIOError:
            return count
        count += 1


async def _async_open_paths(
    rng: random.Random, sink: tuple[str, int], source: socket.socket
) -> list[_PacketPath]:
    """Open a bare relay and a balancer that send all packets to the sink."""
    loop = asyncio.get_running_loop()
    relay, _ = await loop.create_datagram_endpoint(
        lambda: _BareRelay(sink), local_addr=_LOOPBACK
    )
    service, fleet = _open_balancer(sink)
    owner = routing_token(companion=Endpoint(*sink))
    issuer = TokenIssuer(token_keys(), owner)
    established = [_short_header_packet(issuer.issue()) for _ in range(FLOWS)]
    returned = Encapsulation(FLEET_KEY).encode_returned(
        ReturnedPacket(1, 1, Endpoint(*sink).pack(), bytes(PACKET_BYTES))
    )
    plain = bytes(PACKET_BYTES)
    return [
        _PacketPath("bare", relay.get_extra_info("sockname"), lambda: plain),
        _PacketPath("forward", service, lambda: rng.choice(established)),
        _PacketPath("return", fleet, lambda: returned),
        _PacketPath("opening", service, lambda: _opening_packet(rng.randbytes(8))),
    ]


def _open_balancer(
    sink: tuple[str, int],
) -> tuple[tuple[str, int], tuple[str, int]]:
    """Open the sockets of a balancer; return the service and fleet addresses."""
    servers = tuple(
        attrs.evolve(server, packets=Endpoint(*sink))
        for server in configuration().services[0].backend_servers
    )
    in_force = configuration(servers=servers)
    roster = Roster()
    roster.configure(in_force)
    forwarder = Forwarder(TokenReader(token_keys()), roster, RendezvousRanking())
    forwarder.configure(in_force)
    encapsulation = Encapsulation(FLEET_KEY)
    meter = Metrics("balancer", "veraval").meter("measurement")
    watch = VersionWatch(lambda: 1, lambda version, sender: None)
    fleet = FleetSocket(encapsulation, watch, meter)
    fleet_transport = DatagramSocket(fleet, _LOOPBACK)
    service = ServiceSocket(
        1,
        Endpoint(*fleet_transport.get_extra_info("sockname")),
        forwarder,
        encapsulation,
        fleet_transport.sendto,
        PacketCounter(meter, "forwarded_packets", "service"),
        PacketCounter(meter, "dropped_packets"),
    )
    service.configure(in_force)
    service_transport = DatagramSocket(service, _LOOPBACK)
    fleet.add_service(1, service)
    return (
        service_transport.get_extra_info("sockname"),
        fleet_transport.get_extra_info("sockname"),
    )


def _short_header_packet(connection_id: bytes) -> bytes:
    """Return a packet of an established flow."""
    return (b"\x40" + connection_id).ljust(PACKET_BYTES, b"\0")


def _opening_packet(connection_id: bytes) -> bytes:
    """Return a packet with the format of an opening packet."""
    head = b"\xc0\x00\x00\x00\x01" + bytes([len(connection_id)]) + connection_id
    return head.ljust(PACKET_BYTES, b"\0")

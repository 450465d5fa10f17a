"""Processor time of a handshake and memory of an open flow."""

import asyncio
import ctypes
import gc
import os
import ssl
import tempfile
import time
from pathlib import Path
from typing import Final

import attrs
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection

from harness.builders import LEDGER_NUMBER, routing_token, token_keys
from harness.certificates import write_certificate
from measurements.interface import Figures
from pomelotrail_companion.edge import QuicEdge
from pomelotrail_companion.edge.caller_edge import PacketVerdict
from pomelotrail_companion.edge.quic_edge import quic_configuration
from pomelotrail_companion.requests import Answer, Request, RequestHandler
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import ForwardedPacket, TokenIssuer
from pomelotrail_core.timeline import Recorder

_SERVICE: Final = ("192.0.2.80", 443)
_CALLER: Final = Endpoint("198.51.100.4", 5000).pack()
_BALANCER: Final = Endpoint("192.0.2.200", 7000).pack()
_MILLISECONDS: Final = 1e3
_HANDSHAKE_ROUNDS: Final = 6
CLOSING_SECONDS: Final = 2.0


class _NoRequests(RequestHandler):
    """Request handler of an edge that receives no requests."""

    async def async_handle(self, request: Request) -> Answer:
        """Raise, since no request is expected."""
        raise AssertionError("no request expected")


@attrs.define
class _EdgeBench:
    """An edge in memory and its processor time."""

    edge: QuicEdge
    sent: list[bytes]
    edge_seconds: float = 0.0


def measure_connections(flows: int) -> Figures:
    """Return milliseconds for a handshake and bytes for an open flow."""
    return asyncio.run(_async_measure(flows))


async def _async_measure(flows: int) -> Figures:
    """Open flows without keeping their callers, then close the flows."""
    bench = _create_bench()
    _open_flow(bench)
    bench.edge_seconds = 0.0
    bytes_before = _resident_bytes()
    start = time.thread_time()
    for _ in range(flows):
        _open_flow(bench)
    both_ends_seconds = time.thread_time() - start
    bytes_opened = _resident_bytes()
    bench.edge.close_all("measured")
    await asyncio.sleep(CLOSING_SECONDS)
    bytes_closed = _resident_bytes()
    return {
        "handshake_ms": round(bench.edge_seconds / flows * _MILLISECONDS, 2),
        "handshake_both_ends_ms": round(both_ends_seconds / flows * _MILLISECONDS, 2),
        "bytes_per_flow": round((bytes_opened - bytes_before) / flows),
        "bytes_left_per_closed_flow": round((bytes_closed - bytes_before) / flows),
        "flows_not_forgotten": bench.edge.flow_count,
    }


def _create_bench() -> _EdgeBench:
    """Return an edge whose outgoing datagrams are collected."""
    with tempfile.TemporaryDirectory() as directory:
        certificate, key = write_certificate(Path(directory))
        configuration = quic_configuration(str(certificate), str(key))
    sent: list[bytes] = []
    clock = SystemClock()
    edge = QuicEdge(
        configuration,
        TokenIssuer(token_keys(), routing_token()),
        _NoRequests(),
        lambda data, caller, balancer: sent.append(data),
        tuple,
        clock,
        Recorder("p", "z", clock, size=10),
    )
    return _EdgeBench(edge, sent)


def _open_flow(bench: _EdgeBench) -> None:
    """Complete the handshake of one caller."""
    caller = QuicConnection(
        configuration=QuicConfiguration(
            is_client=True, alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
        )
    )
    loop = asyncio.get_running_loop()
    caller.connect(_SERVICE, now=loop.time())
    for _ in range(_HANDSHAKE_ROUNDS):
        for data, _ in caller.datagrams_to_send(loop.time()):
            _handle_packet(bench, data)
        for data in bench.sent:
            caller.receive_datagram(data, _SERVICE, loop.time())
        bench.sent.clear()


def _handle_packet(bench: _EdgeBench, payload: bytes) -> None:
    """Pass one packet to the edge and measure its processor time."""
    packet = ForwardedPacket(1, LEDGER_NUMBER, _CALLER, _BALANCER, 0, (), payload)
    start = time.thread_time()
    if bench.edge.handle_packet(packet) is PacketVerdict.OPENING:
        bench.edge.open_flow(packet)
    bench.edge_seconds += time.thread_time() - start


def _resident_bytes() -> int:
    """Return the resident memory after returning free memory to the system."""
    gc.collect()
    ctypes.CDLL(None).malloc_trim(0)
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")

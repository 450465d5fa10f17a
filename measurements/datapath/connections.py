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
_EXCHANGES: Final = 6
CLOSING: Final = 2.0


class _NoRequests(RequestHandler):
    """Stands where no request arrives."""

    async def async_handle(self, request: Request) -> Answer:
        """Fail."""
        raise AssertionError("no request expected")


@attrs.define
class _Bench:
    """An edge in memory, and the time that it has taken."""

    edge: QuicEdge
    sent: list[bytes]
    edge_seconds: float = 0.0


def measure_connections(flows: int) -> Figures:
    """Return milliseconds for a handshake and bytes for an open flow."""
    return asyncio.run(_async_measure(flows))


async def _async_measure(flows: int) -> Figures:
    """Open flows, forget their callers, and close the flows."""
    bench = _bench()
    _open_flow(bench)
    bench.edge_seconds = 0.0
    before = _resident_bytes()
    began = time.thread_time()
    for _ in range(flows):
        _open_flow(bench)
    both = time.thread_time() - began
    opened = _resident_bytes()
    bench.edge.close_all("measured")
    await asyncio.sleep(CLOSING)
    closed = _resident_bytes()
    return {
        "handshake_ms": round(bench.edge_seconds / flows * _MILLISECONDS, 2),
        "handshake_both_ends_ms": round(both / flows * _MILLISECONDS, 2),
        "bytes_per_flow": round((opened - before) / flows),
        "bytes_left_per_closed_flow": round((closed - before) / flows),
        "flows_not_forgotten": bench.edge.flow_count,
    }


def _bench() -> _Bench:
    """Return an edge whose answers are kept."""
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
    return _Bench(edge, sent)


def _open_flow(bench: _Bench) -> None:
    """Let one caller finish its handshake."""
    caller = QuicConnection(
        configuration=QuicConfiguration(
            is_client=True, alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
        )
    )
    loop = asyncio.get_running_loop()
    caller.connect(_SERVICE, now=loop.time())
    for _ in range(_EXCHANGES):
        for data, _ in caller.datagrams_to_send(loop.time()):
            _give(bench, data)
        for data in bench.sent:
            caller.receive_datagram(data, _SERVICE, loop.time())
        bench.sent.clear()


def _give(bench: _Bench, payload: bytes) -> None:
    """Let the edge handle one packet and measure its time."""
    packet = ForwardedPacket(1, LEDGER_NUMBER, _CALLER, _BALANCER, 0, (), payload)
    began = time.thread_time()
    if bench.edge.offer(packet) is PacketVerdict.OPENING:
        bench.edge.open_flow(packet)
    bench.edge_seconds += time.thread_time() - began


def _resident_bytes() -> int:
    """Return the resident memory after all that is free has been given back."""
    gc.collect()
    ctypes.CDLL(None).malloc_trim(0)
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")

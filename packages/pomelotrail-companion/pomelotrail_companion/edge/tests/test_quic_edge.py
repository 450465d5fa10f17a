"""Tests of opening, refusing and removing QUIC flows."""

import asyncio
import gc
import ssl
import tempfile
import unittest
import weakref
from datetime import timedelta
from pathlib import Path

from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.packet import QuicErrorCode

from harness.builders import routing_token, token_keys
from harness.certificates import write_certificate
from harness.fake_clock import FakeClock
from pomelotrail_companion.edge import QuicEdge
from pomelotrail_companion.edge.caller_edge import PacketVerdict
from pomelotrail_companion.edge.const import HANDSHAKE_TIMEOUT, RELEASE_DELAY
from pomelotrail_companion.edge.quic_edge import quic_configuration
from pomelotrail_companion.requests import Answer, Request, RequestHandler
from pomelotrail_core.routing import TokenIssuer
from pomelotrail_core.timeline import EventKind, Recorder

from .builders import forwarded, handshake, opening

_SERVICE = ("192.0.2.80", 443)


class _UnexpectedRequestHandler(RequestHandler):
    """Request handler for tests without requests."""

    async def async_handle(self, request: Request) -> Answer:
        """Fail."""
        raise AssertionError("no request expected")


def caller() -> QuicConnection:
    """Return a caller that has not connected yet."""
    return QuicConnection(
        configuration=QuicConfiguration(
            is_client=True, alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
        )
    )


class QuicEdgeTest(unittest.IsolatedAsyncioTestCase):
    """Only decryptable opening packets use memory, for a limited time."""

    def setUp(self) -> None:
        """Set up an edge that records sent packets."""
        with tempfile.TemporaryDirectory() as directory:
            certificate, key = write_certificate(Path(directory))
            configuration = quic_configuration(str(certificate), str(key))
        self.clock = FakeClock()
        self.recorder = Recorder("p", "z", self.clock)
        self.sent: list[bytes] = []
        self.edge = QuicEdge(
            configuration,
            TokenIssuer(token_keys(), routing_token()),
            _UnexpectedRequestHandler(),
            lambda data, caller, balancer: self.sent.append(data),
            tuple,
            self.clock,
            self.recorder,
        )

    def opening_packet(self, connection: QuicConnection) -> bytes:
        """Return the opening packet of a caller."""
        connection.connect(_SERVICE, now=0.0)
        return connection.datagrams_to_send(0.0)[0][0]

    async def test_refusal_closes_the_connection(self) -> None:
        """The caller receives CONNECTION_REFUSED and no flow remains."""
        connection = caller()
        self.edge.refuse(forwarded(self.opening_packet(connection)))
        connection.receive_datagram(self.sent[0], _SERVICE, 0.01)
        closed_at = connection.get_timer()
        assert closed_at is not None
        connection.handle_timer(closed_at)
        event = connection.next_event()
        while event and not isinstance(event, ConnectionTerminated):
            event = connection.next_event()
        assert isinstance(event, ConnectionTerminated)
        self.assertEqual(event.error_code, QuicErrorCode.CONNECTION_REFUSED)
        self.assertEqual(self.edge.flow_count, 0)

    async def test_undecryptable_opening_leaves_no_state(self) -> None:
        """Random bytes in the shape of an Initial packet open no flow."""
        packet = forwarded(opening())
        self.assertFalse(self.edge.open_flow(packet))
        self.assertEqual(self.edge.flow_count, 0)
        self.assertFalse(self.edge._by_connection_id)
        self.assertFalse(self.recorder.events)

    async def test_half_open_flow_expires(self) -> None:
        """A flow of a caller that continued with another companion is removed."""
        self.assertTrue(self.edge.open_flow(forwarded(self.opening_packet(caller()))))
        self.clock.jump(HANDSHAKE_TIMEOUT - timedelta(seconds=1))
        self.edge.handle_packet(forwarded(handshake()))
        self.assertEqual(self.edge.flow_count, 1)
        self.clock.jump(timedelta(seconds=1))
        self.edge.handle_packet(forwarded(handshake()))
        self.assertEqual(self.edge.flow_count, 0)
        self.assertFalse(self.edge._by_connection_id)
        kinds = [event.kind for event in self.recorder.events]
        self.assertEqual(kinds, [EventKind.FLOW_OPENED, EventKind.FLOW_CLOSED])

    async def test_ended_flow_is_freed_without_the_garbage_collector(self) -> None:
        """The memory of an ended flow is released immediately."""
        gc.disable()
        self.addCleanup(gc.enable)
        self.edge.open_flow(forwarded(self.opening_packet(caller())))
        flow = weakref.ref(next(iter(self.edge._connection_ids)))
        connection = weakref.ref(next(iter(self.edge._connection_ids))._quic)
        self.clock.jump(HANDSHAKE_TIMEOUT)
        self.edge.handle_packet(forwarded(handshake()))
        await asyncio.sleep(2 * RELEASE_DELAY.total_seconds())
        self.assertIsNone(flow())
        self.assertIsNone(connection())

    async def test_unknown_version_is_negotiated_for_full_size_packets(self) -> None:
        """Small packets get no answer, which would be larger than the packet."""
        packet = bytearray(opening())
        packet[4] = 99
        verdict = self.edge.classify(forwarded(bytes(packet)))
        self.assertIs(verdict, PacketVerdict.HANDLED)
        self.assertEqual(len(self.sent), 1)
        self.edge.classify(forwarded(bytes(packet[:200])))
        self.assertEqual(len(self.sent), 1)

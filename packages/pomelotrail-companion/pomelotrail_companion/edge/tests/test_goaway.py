"""Tests of GOAWAY and of closing flows, with an in-memory caller."""

import asyncio
import ssl
import tempfile
import unittest
from pathlib import Path

from aioquic.h3.connection import ErrorCode
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import QuicEvent, StreamReset

from harness.builders import routing_token, token_keys
from harness.certificates import write_certificate
from pomelotrail_companion.edge import QuicEdge
from pomelotrail_companion.edge.caller_edge import PacketVerdict
from pomelotrail_companion.edge.quic_edge import quic_configuration
from pomelotrail_companion.requests import Answer, Request, RequestHandler
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.routing import TokenIssuer
from pomelotrail_core.timeline import Recorder
from stand_ins.caller.goaway import GoawayConnection

from .builders import forwarded

_SERVICE = ("192.0.2.80", 443)
_BODY = b"x" * 5_000
# QUIC endpoints send a delayed acknowledgement after 25 ms.
_ACKNOWLEDGEMENT_DELAY_S = 0.03
_HEADERS = [
    (b":method", b"GET"),
    (b":scheme", b"https"),
    (b":authority", b"localhost"),
    (b":path", b"/board"),
]


class _ImmediateHandler(RequestHandler):
    """Answers immediately."""

    async def async_handle(self, request: Request) -> Answer:
        """Answer one request."""
        return Answer(200, (), async_chunks(_BODY))


class GoawayTest(unittest.IsolatedAsyncioTestCase):
    """GOAWAY makes callers move, and running requests complete."""

    async def asyncSetUp(self) -> None:
        """Open a flow."""
        with tempfile.TemporaryDirectory() as directory:
            certificate, key = write_certificate(Path(directory))
            configuration = quic_configuration(str(certificate), str(key))
        clock = SystemClock()
        self.to_caller: list[bytes] = []
        self.edge = QuicEdge(
            configuration,
            TokenIssuer(token_keys(), routing_token()),
            _ImmediateHandler(),
            lambda data, caller, balancer: self.to_caller.append(data),
            tuple,
            clock,
            Recorder("p", "z", clock),
        )
        self.caller = QuicConnection(
            configuration=QuicConfiguration(
                is_client=True, alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
            )
        )
        self.goaways = 0
        self.quic_events: list[QuicEvent] = []
        self.events: list[H3Event] = []
        self.http = GoawayConnection(self.caller, self._count_goaway)
        self.caller_time_s = 0.0
        self.caller.connect(_SERVICE, now=self.caller_time_s)
        await self.async_exchange()

    def _count_goaway(self) -> None:
        """Count one GOAWAY frame."""
        self.goaways += 1

    async def async_exchange(self, rounds: int = 8) -> None:
        """Deliver packets in both directions.

        By its own clock, the caller acknowledges in each round what it got before.
        """
        for _ in range(rounds):
            await asyncio.sleep(0)
            self.caller_time_s += _ACKNOWLEDGEMENT_DELAY_S
            for data, _ in self.caller.datagrams_to_send(self.caller_time_s):
                packet = forwarded(data)
                if self.edge.handle_packet(packet) is PacketVerdict.OPENING:
                    self.edge.open_flow(packet)
            await asyncio.sleep(0)
            for data in self.to_caller:
                self.caller.receive_datagram(data, _SERVICE, self.caller_time_s)
            self.to_caller.clear()
            self._read_events()

    def _read_events(self) -> None:
        """Collect the events of the caller."""
        event = self.caller.next_event()
        while event is not None:
            self.quic_events.append(event)
            self.events.extend(self.http.handle_event(event))
            event = self.caller.next_event()

    def send_request(self) -> int:
        """Send a request and return its stream."""
        stream_id = self.caller.get_next_available_stream_id()
        self.http.send_headers(stream_id, _HEADERS, end_stream=True)
        return stream_id

    def received_body(self, stream_id: int) -> bytes:
        """Return the received part of an answer."""
        return b"".join(
            event.data
            for event in self.events
            if isinstance(event, DataReceived) and event.stream_id == stream_id
        )

    async def test_requests_are_answered_after_first_goaway(self) -> None:
        """The first GOAWAY tells the caller to move; the flow still serves requests."""
        self.edge.announce_leaving()
        self.edge.announce_leaving()
        await self.async_exchange()
        self.assertEqual(self.goaways, 1)
        stream_id = self.send_request()
        await self.async_exchange()
        self.assertEqual(self.received_body(stream_id), _BODY)

    async def test_request_after_final_goaway_is_rejected(self) -> None:
        """The stream reset tells the caller that the request was not processed."""
        self.edge.refuse_requests()
        stream_id = self.send_request()
        await self.async_exchange()
        resets = [e for e in self.quic_events if isinstance(e, StreamReset)]
        self.assertEqual([each.stream_id for each in resets], [stream_id])
        self.assertEqual(resets[0].error_code, ErrorCode.H3_REQUEST_REJECTED)
        self.assertFalse([e for e in self.events if isinstance(e, HeadersReceived)])

    async def test_unacknowledged_answer_keeps_the_flow_open(self) -> None:
        """A flow is only idle after the caller has acknowledged the whole answer."""
        stream_id = self.send_request()
        for data, _ in self.caller.datagrams_to_send(self.caller_time_s):
            self.edge.handle_packet(forwarded(data))
        for _ in range(20):
            await asyncio.sleep(0)
        self.edge.close_idle()
        self.assertEqual(self.edge.busy_flow_count, 1)
        await self.async_exchange()
        self.assertEqual(self.received_body(stream_id), _BODY)
        self.assertEqual(self.edge.busy_flow_count, 0)

    async def test_flow_closed_by_caller_after_goaway_counts_as_moved(self) -> None:
        """Moved flows are counted separately from broken ones."""
        self.edge.announce_leaving()
        await self.async_exchange()
        self.caller.close()
        await self.async_exchange()
        flow = next(iter(self.edge._connection_ids))
        flow._handle_timer()
        self.assertEqual(self.edge.moved_flow_count, 1)
        self.assertEqual(self.edge.flow_count, 0)

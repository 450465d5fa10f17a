"""HTTP/3 client based on ``aioquic``, with nothing specific to pomelotrail."""

import asyncio
import contextlib
import ssl
from collections.abc import AsyncIterator

import attrs
from aioquic.asyncio.client import connect
from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.events import DataReceived, HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.events import ConnectionTerminated, QuicEvent, StreamReset

from stand_ins.caller.goaway import GoawayConnection

CHUNK_BYTES = 65_536


class FlowLostError(Exception):
    """The flow ended before the answer was complete."""


@attrs.define
class CallerAnswer:
    """The received part of one answer."""

    status: int = 0
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytearray = attrs.Factory(bytearray)
    is_complete: bool = False
    is_lost: bool = False
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    async def async_wait_complete(self) -> None:
        """Wait until the answer is complete."""
        while not self.is_complete:
            await self._async_wait_for_change()

    async def async_wait_bytes(self, count: int) -> None:
        """Wait until at least ``count`` bytes of the body were received."""
        while len(self.body) < count and not self.is_complete:
            await self._async_wait_for_change()

    async def _async_wait_for_change(self) -> None:
        """Wait until more of the answer was received."""
        if self.is_lost:
            raise FlowLostError
        self.changed.clear()
        await self.changed.wait()


class Caller(QuicConnectionProtocol):
    """One connection of a caller."""

    def __init__(self, *arguments: object, **options: object) -> None:
        """Initialize HTTP/3 on the connection."""
        super().__init__(*arguments, **options)
        self.goaway_received = asyncio.Event()
        self._http = GoawayConnection(self._quic, self.goaway_received.set)
        self._answers: dict[int, CallerAnswer] = {}
        self.is_terminated = False

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle one event of the connection."""
        if isinstance(event, ConnectionTerminated):
            self.is_terminated = True
            for answer in self._answers.values():
                self._mark_lost(answer)
        if isinstance(event, StreamReset) and event.stream_id in self._answers:
            self._mark_lost(self._answers[event.stream_id])
        for http_event in self._http.handle_event(event):
            answer = self._answers.get(getattr(http_event, "stream_id", -1))
            if answer is None:
                continue
            if isinstance(http_event, HeadersReceived):
                headers = {k.decode(): v.decode() for k, v in http_event.headers}
                answer.status = int(headers.pop(":status", "0"))
                answer.headers = headers
            if isinstance(http_event, DataReceived):
                answer.body += http_event.data
            if http_event.stream_ended:
                answer.is_complete = True
            answer.changed.set()

    def start_request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> CallerAnswer:
        """Send a request and return its answer, which fills as it arrives."""
        if self.is_terminated:
            raise FlowLostError
        stream_id = self._quic.get_next_available_stream_id()
        answer = CallerAnswer()
        self._answers[stream_id] = answer
        fields = {
            ":method": method,
            ":scheme": "https",
            ":authority": "localhost",
            ":path": path,
            **(headers or {}),
        }
        if body:
            fields["content-length"] = str(len(body))
        encoded = [(k.encode(), v.encode()) for k, v in fields.items()]
        self._http.send_headers(stream_id, encoded, end_stream=not body)
        for offset in range(0, len(body), CHUNK_BYTES):
            chunk = body[offset : offset + CHUNK_BYTES]
            is_last = offset + CHUNK_BYTES >= len(body)
            self._http.send_data(stream_id, chunk, end_stream=is_last)
        self.transmit()
        return answer

    async def async_request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> CallerAnswer:
        """Send a request and wait for the complete answer."""
        answer = self.start_request(method, path, body, headers)
        await answer.async_wait_complete()
        return answer

    def _mark_lost(self, answer: CallerAnswer) -> None:
        """Mark an answer as lost unless it is complete."""
        answer.is_lost = not answer.is_complete
        answer.changed.set()


@contextlib.asynccontextmanager
async def async_connect(host: str, port: int) -> AsyncIterator[Caller]:
    """Open a connection to a service; the certificate is not checked."""
    configuration = QuicConfiguration(
        is_client=True, alpn_protocols=["h3"], verify_mode=ssl.CERT_NONE
    )
    async with connect(
        host, port, configuration=configuration, create_protocol=Caller
    ) as caller:
        yield caller

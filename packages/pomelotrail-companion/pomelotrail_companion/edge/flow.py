"""A flow: the QUIC connection of a caller and its HTTP/3 requests."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

from aioquic.asyncio.protocol import QuicConnectionProtocol
from aioquic.h3.connection import ErrorCode, H3Connection
from aioquic.h3.events import DataReceived, H3Event, HeadersReceived
from aioquic.quic.connection import (
    stream_is_client_initiated,
    stream_is_unidirectional,
)
from aioquic.quic.events import (
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamReset,
)

from pomelotrail_companion.requests import (
    Answer,
    Header,
    Request,
    RequestBroken,
    RequestHandler,
)
from pomelotrail_core.clock import Clock
from pomelotrail_core.logs import get_logger

from .const import RELEASE_DELAY, SEND_HIGH_WATER_BYTES, SEND_POLL_INTERVAL
from .goaway import MAX_REQUEST_STREAM_ID, next_request_stream, send_goaway
from .routable_connection import RoutableQuicConnection

_LOGGER = get_logger("edge")

FlowCallback = Callable[["Flow"], None]


class CallerGoneError(RequestBroken):
    """The caller ended the stream or the flow before the request was complete."""


class _Body:
    """The body of one request, written by the flow and read by the request task.

    ``on_unread_changed`` is called with the number of unread bytes on each change.
    """

    def __init__(self, on_unread_changed: Callable[[int], None]) -> None:
        """Initialize an empty body."""
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._is_broken = False
        self._on_unread_changed = on_unread_changed
        self._unread = 0

    def feed(self, chunk: bytes) -> None:
        """Add a received chunk."""
        if chunk:
            self._add_unread(len(chunk))
            self._chunks.put_nowait(chunk)

    def feed_end(self) -> None:
        """Mark the end of the body."""
        self._chunks.put_nowait(None)

    def abort(self) -> None:
        """Mark the body as broken: the rest will not arrive."""
        self._is_broken = True
        self._chunks.put_nowait(None)

    async def async_read(self) -> AsyncIterator[bytes]:
        """Yield the chunks; a broken body raises ``CallerGoneError`` at its end."""
        while (chunk := await self._chunks.get()) is not None:
            self._add_unread(-len(chunk))
            yield chunk
        if self._is_broken:
            raise CallerGoneError

    def _add_unread(self, change: int) -> None:
        """Change the number of unread bytes."""
        self._unread += change
        self._on_unread_changed(self._unread)


class Flow(QuicConnectionProtocol):
    """Serves the requests of one caller, each in its own task."""

    def __init__(
        self,
        quic: RoutableQuicConnection,
        name: str,
        handler: RequestHandler,
        clock: Clock,
        on_established: FlowCallback,
        on_ended: FlowCallback,
    ) -> None:
        """Serve a connection; callbacks receive this flow on state changes."""
        super().__init__(quic)
        self._name = name
        self._handler = handler
        self._clock = clock
        self._on_established = on_established
        self._on_ended = on_ended
        self._http = H3Connection(quic)
        self._bodies: dict[int, _Body] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._termination: ConnectionTerminated | None = None
        self._latest_stream_id: int | None = None
        self._is_goaway_sent = False
        self._first_refused = MAX_REQUEST_STREAM_ID

    @property
    def name(self) -> str:
        """Return the name of the flow in events."""
        return self._name

    @property
    def termination(self) -> ConnectionTerminated | None:
        """Return how the connection ended, or None while it is open."""
        return self._termination

    @property
    def running_requests(self) -> int:
        """Return the number of requests with an incomplete answer."""
        return len(self._tasks)

    @property
    def is_goaway_sent(self) -> bool:
        """Return True if a GOAWAY frame has announced that the companion is leaving."""
        return self._is_goaway_sent

    @property
    def is_idle(self) -> bool:
        """Return True if every answer is completely sent and acknowledged."""
        if self._tasks:
            return False
        return all(
            stream.sender.is_finished
            for stream_id, stream in self._quic._streams.items()
            if stream_is_client_initiated(stream_id)
            and not stream_is_unidirectional(stream_id)
        )

    def announce_leaving(self) -> None:
        """Send a GOAWAY frame that still allows every request."""
        if not self._is_goaway_sent:
            self._is_goaway_sent = True
            self._send_goaway(MAX_REQUEST_STREAM_ID)

    def refuse_requests(self) -> None:
        """Send a GOAWAY frame that rejects all further requests."""
        if self._first_refused == MAX_REQUEST_STREAM_ID:
            self._first_refused = next_request_stream(self._latest_stream_id)
            self._send_goaway(self._first_refused)

    def close_without_error(self, reason: str) -> None:
        """Close the flow without an error."""
        self.close(ErrorCode.H3_NO_ERROR, reason)

    def abandon(self) -> None:
        """End the flow without sending a packet to its caller."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._end()

    def quic_event_received(self, event: QuicEvent) -> None:
        """Handle one event of the connection."""
        if isinstance(event, ConnectionTerminated):
            self._termination = event
            self._end()
            return
        if isinstance(event, HandshakeCompleted):
            self._on_established(self)
        if isinstance(event, StreamReset | StopSendingReceived):
            self._cancel(event.stream_id)
            return
        for http_event in self._http.handle_event(event):
            self._handle_http_event(http_event)

    def _handle_http_event(self, event: H3Event) -> None:
        """Start a request, or add data to the body of a running one."""
        if isinstance(event, HeadersReceived):
            self._start_request(event)
        if isinstance(event, DataReceived) and event.stream_id in self._bodies:
            self._bodies[event.stream_id].feed(event.data)
        if isinstance(event, HeadersReceived | DataReceived) and event.stream_ended:
            body = self._bodies.get(event.stream_id)
            if body is not None:
                body.feed_end()

    def _start_request(self, event: HeadersReceived) -> None:
        """Start the task of a request; trailers are ignored."""
        if event.stream_id in self._bodies:
            return
        if event.stream_id >= self._first_refused:
            self._reset(event.stream_id, ErrorCode.H3_REQUEST_REJECTED)
            return
        self._latest_stream_id = max(event.stream_id, self._latest_stream_id or 0)
        body = _Body(lambda unread: self._set_unread(event.stream_id, unread))
        request = _request(event, body, self._name)
        self._bodies[event.stream_id] = body
        task = asyncio.create_task(self._async_serve(event.stream_id, request))
        self._tasks[event.stream_id] = task

    async def _async_serve(self, stream_id: int, request: Request) -> None:
        """Handle a request and send its answer."""
        try:
            answer = await self._handler.async_handle(request)
            await self._async_send(stream_id, answer)
        except CallerGoneError:
            _LOGGER.debug("Caller cancelled request %s", request.identifier)
        except asyncio.CancelledError:
            raise
        except Exception:
            _LOGGER.exception("Request %s failed", request.identifier)
            self._reset(stream_id, ErrorCode.H3_INTERNAL_ERROR)
        finally:
            self._bodies.pop(stream_id, None)
            self._tasks.pop(stream_id, None)

    async def _async_send(self, stream_id: int, answer: Answer) -> None:
        """Send an answer in chunks, limited by the rate of acknowledgements."""
        headers = [(b":status", str(answer.status).encode())]
        headers += [
            (header.name.encode(), header.value.encode()) for header in answer.headers
        ]
        async with contextlib.aclosing(answer.body) as body:
            self._http.send_headers(stream_id, headers)
            self.transmit()
            async for chunk in body:
                await self._async_wait_writable(stream_id)
                self._http.send_data(stream_id, chunk, end_stream=False)
                self.transmit()
        self._http.send_data(stream_id, b"", end_stream=True)
        self.transmit()

    def _set_unread(self, stream_id: int, unread: int) -> None:
        """Limit the flow control credit of the caller to what the handler reads."""
        if self._quic.set_unread(stream_id, unread):
            asyncio.get_running_loop().call_soon(self.transmit)

    async def _async_wait_writable(self, stream_id: int) -> None:
        """Wait while the send buffer is above the high-water mark."""
        while self._unsent_bytes(stream_id) > SEND_HIGH_WATER_BYTES:
            await self._clock.async_sleep(SEND_POLL_INTERVAL)

    def _unsent_bytes(self, stream_id: int) -> int:
        """Return the number of bytes in the send buffer of a stream."""
        stream = self._quic._streams.get(stream_id)
        return len(stream.sender._buffer) if stream is not None else 0

    def _send_goaway(self, first_refused: int) -> None:
        """Send one GOAWAY frame."""
        send_goaway(self._quic, self._http, first_refused)
        self.transmit()

    def _reset(self, stream_id: int, error_code: ErrorCode) -> None:
        """Reset the stream of an answer that can't be completed."""
        with contextlib.suppress(Exception):
            self._quic.reset_stream(stream_id, error_code)
            self.transmit()

    def _cancel(self, stream_id: int) -> None:
        """Cancel a request that the caller has abandoned."""
        if stream_id in self._bodies:
            self._bodies[stream_id].abort()
        if stream_id in self._tasks:
            self._tasks[stream_id].cancel()

    def _end(self) -> None:
        """Cancel every request of a flow that has ended."""
        for stream_id in list(self._tasks):
            self._cancel(stream_id)
        self._on_ended(self)
        self._loop.call_later(RELEASE_DELAY.total_seconds(), self._release)

    def _release(self) -> None:
        """Release the memory of an ended flow without the garbage collector.

        The callbacks of the connection and its unacknowledged packets form
        reference cycles, which would otherwise stay in memory until the garbage
        collector examines its oldest generation.
        """
        if self._timer is not None:
            self._timer.cancel()
        self._connection_id_issued_handler = _ignore
        self._connection_id_retired_handler = _ignore
        for space in self._quic._spaces.values():
            space.sent_packets.clear()
        vars(self._quic).clear()
        vars(self._http).clear()


def _ignore(connection_id: bytes) -> None:
    """Ignore a connection ID of an ended flow."""


def _request(event: HeadersReceived, body: _Body, flow: str) -> Request:
    """Build a request from its header event."""
    fields: dict[str, Any] = {}
    headers: list[Header] = []
    for raw_name, raw_value in event.headers:
        name, value = raw_name.decode(), raw_value.decode(errors="replace")
        if name.startswith(":"):
            fields[name] = value
        else:
            headers.append(Header(name, value))
    return Request(
        identifier=f"{flow}-{event.stream_id}",
        flow=flow,
        method=fields.get(":method", ""),
        path=fields.get(":path", ""),
        headers=tuple(headers),
        body=body.async_read(),
    )

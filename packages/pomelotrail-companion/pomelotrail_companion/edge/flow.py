"""One flow: a QUIC connection of a caller with its HTTP/3 requests."""

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

from .const import RELEASE_DELAY, SEND_HIGH_WATER_BYTES, SEND_POLL
from .goaway import EVERY_REQUEST, next_request_stream, send_goaway
from .routable_connection import RoutableQuicConnection

_LOGGER = get_logger("edge")

FlowChanged = Callable[["Flow"], None]


class CallerGone(RequestBroken):
    """The caller ended the stream or the flow before the request was whole."""


class _Body:
    """The body of one request, filled by the flow and read by its task.

    ``changed`` is called with the unread bytes whenever they change.
    """

    def __init__(self, changed: Callable[[int], None]) -> None:
        """Start with nothing received."""
        self._pieces: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._is_broken = False
        self._changed = changed
        self._unread = 0

    def feed(self, piece: bytes) -> None:
        """Add a received piece."""
        if piece:
            self._count(len(piece))
            self._pieces.put_nowait(piece)

    def feed_end(self) -> None:
        """Mark the end of the body."""
        self._pieces.put_nowait(None)

    def break_off(self) -> None:
        """Mark that the rest of the body will never arrive."""
        self._is_broken = True
        self._pieces.put_nowait(None)

    async def async_read(self) -> AsyncIterator[bytes]:
        """Yield the pieces until the end; a broken body raises ``CallerGone``."""
        while (piece := await self._pieces.get()) is not None:
            self._count(-len(piece))
            yield piece
        if self._is_broken:
            raise CallerGone

    def _count(self, change: int) -> None:
        """Count unread bytes."""
        self._unread += change
        self._changed(self._unread)


class Flow(QuicConnectionProtocol):
    """Serves the requests of one caller; each request has a task of its own."""

    def __init__(
        self,
        quic: RoutableQuicConnection,
        name: str,
        handler: RequestHandler,
        clock: Clock,
        established: FlowChanged,
        ended: FlowChanged,
    ) -> None:
        """Serve a connection; ``established`` and ``ended`` tell its state."""
        super().__init__(quic)
        self._name = name
        self._handler = handler
        self._clock = clock
        self._established = established
        self._ended = ended
        self._http = H3Connection(quic)
        self._bodies: dict[int, _Body] = {}
        self._tasks: dict[int, asyncio.Task[None]] = {}
        self._termination: ConnectionTerminated | None = None
        self._latest_stream_id: int | None = None
        self._is_announced = False
        self._first_refused = EVERY_REQUEST

    @property
    def name(self) -> str:
        """Return the name of the flow for events."""
        return self._name

    @property
    def termination(self) -> ConnectionTerminated | None:
        """Return how the connection ended, or None while it is open."""
        return self._termination

    @property
    def running_requests(self) -> int:
        """Return the number of requests without a whole answer."""
        return len(self._tasks)

    @property
    def is_announced(self) -> bool:
        """Tell whether the caller was asked to open its next flow elsewhere."""
        return self._is_announced

    @property
    def is_idle(self) -> bool:
        """Tell whether every answer has been sent and acknowledged whole."""
        if self._tasks:
            return False
        return all(
            stream.sender.is_finished
            for stream_id, stream in self._quic._streams.items()
            if stream_is_client_initiated(stream_id)
            and not stream_is_unidirectional(stream_id)
        )

    def announce_leaving(self) -> None:
        """Ask the caller to open its next flow elsewhere; requests still run."""
        if not self._is_announced:
            self._is_announced = True
            self._send_goaway(EVERY_REQUEST)

    def refuse_requests(self) -> None:
        """Tell the caller that no further request will be processed."""
        if self._first_refused == EVERY_REQUEST:
            self._first_refused = next_request_stream(self._latest_stream_id)
            self._send_goaway(self._first_refused)

    def close_politely(self, reason: str) -> None:
        """Close the flow without an error."""
        self.close(ErrorCode.H3_NO_ERROR, reason)

    def abandon(self) -> None:
        """Forget a flow whose caller has gone, without a packet to it."""
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
            self._established(self)
        if isinstance(event, StreamReset | StopSendingReceived):
            self._cancel(event.stream_id)
            return
        for http_event in self._http.handle_event(event):
            self._handle_http_event(http_event)

    def _handle_http_event(self, event: H3Event) -> None:
        """Start a request, or feed the body of a running one."""
        if isinstance(event, HeadersReceived):
            self._start_request(event)
        if isinstance(event, DataReceived) and event.stream_id in self._bodies:
            self._bodies[event.stream_id].feed(event.data)
        if isinstance(event, HeadersReceived | DataReceived) and event.stream_ended:
            body = self._bodies.get(event.stream_id)
            if body is not None:
                body.feed_end()

    def _start_request(self, event: HeadersReceived) -> None:
        """Start the task of a request; trailers are passed over."""
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
        except CallerGone:
            _LOGGER.debug("Caller gave up request %s", request.identifier)
        except asyncio.CancelledError:
            raise
        except Exception:
            _LOGGER.exception("Request %s failed", request.identifier)
            self._reset(stream_id, ErrorCode.H3_INTERNAL_ERROR)
        finally:
            self._bodies.pop(stream_id, None)
            self._tasks.pop(stream_id, None)

    async def _async_send(self, stream_id: int, answer: Answer) -> None:
        """Send an answer piece by piece, no faster than the caller takes it."""
        headers = [(b":status", str(answer.status).encode())]
        headers += [
            (header.name.encode(), header.value.encode()) for header in answer.headers
        ]
        async with contextlib.aclosing(answer.body) as body:
            self._http.send_headers(stream_id, headers)
            self.transmit()
            async for piece in body:
                await self._async_wait_writable(stream_id)
                self._http.send_data(stream_id, piece, end_stream=False)
                self.transmit()
        self._http.send_data(stream_id, b"", end_stream=True)
        self.transmit()

    def _set_unread(self, stream_id: int, unread: int) -> None:
        """Let the caller send no more than the handler reads."""
        if self._quic.set_unread(stream_id, unread):
            asyncio.get_running_loop().call_soon(self.transmit)

    async def _async_wait_writable(self, stream_id: int) -> None:
        """Wait while much of the answer has not been acknowledged yet."""
        while self._unsent_bytes(stream_id) > SEND_HIGH_WATER_BYTES:
            await self._clock.async_sleep(SEND_POLL)

    def _unsent_bytes(self, stream_id: int) -> int:
        """Return how much of a stream the connection still holds."""
        stream = self._quic._streams.get(stream_id)
        return len(stream.sender._buffer) if stream is not None else 0

    def _send_goaway(self, first_refused: int) -> None:
        """Send one GOAWAY frame."""
        send_goaway(self._quic, self._http, first_refused)
        self.transmit()

    def _reset(self, stream_id: int, error_code: ErrorCode) -> None:
        """Tell the caller that the answer will not become whole."""
        with contextlib.suppress(Exception):
            self._quic.reset_stream(stream_id, error_code)
            self.transmit()

    def _cancel(self, stream_id: int) -> None:
        """Cancel the request that the caller gave up."""
        if stream_id in self._bodies:
            self._bodies[stream_id].break_off()
        if stream_id in self._tasks:
            self._tasks[stream_id].cancel()

    def _end(self) -> None:
        """Cancel every request of a flow that has ended."""
        for stream_id in list(self._tasks):
            self._cancel(stream_id)
        self._ended(self)
        self._loop.call_later(RELEASE_DELAY.total_seconds(), self._release)

    def _release(self) -> None:
        """Let the memory of an ended flow go at once.

        The connection refers to itself by its callbacks, and so do packets
        that were not acknowledged; without this they would stay until the
        garbage collector looks at the oldest objects.
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
    """Do nothing about a connection ID of an ended flow."""


def _request(event: HeadersReceived, body: _Body, flow: str) -> Request:
    """Return the request that an event opens."""
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

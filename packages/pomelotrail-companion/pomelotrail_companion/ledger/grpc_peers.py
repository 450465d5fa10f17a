"""Client for other companions over grpclib."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any, Final

from grpclib.client import Channel, Stream
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result

from pomelotrail_companion.requests import Answer, AnswerBroken, Request, RequestBroken
from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import open_channel

from . import relay_pb2 as pb
from .const import MAX_CHANNELS, PEER_RESPONSE_TIMEOUT, RELAY_WINDOW_BYTES
from .peers import CompanionError, FailureReason, PeerCompanions, PeerQuery
from .relay_grpc import RelayStub
from .wire import MILLISECOND, decode_answer, encode_request

_CONNECTION_ERRORS: Final = (
    OSError,
    TimeoutError,
    GRPCError,
    StreamTerminatedError,
    asyncio.IncompleteReadError,
)


class GrpcPeers(PeerCompanions):
    """Keeps a channel to each companion that was called, up to a limit."""

    def __init__(self, service: str, clock: Clock) -> None:
        """Initialize for companions of one service."""
        self._service = service
        self._clock = clock
        self._channels: dict[Endpoint, Channel] = {}

    def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    async def async_resolve(
        self, endpoint: Endpoint, query: PeerQuery
    ) -> Result[Answer, CompanionError]:
        """Query the executor of a ticket for the outcome of its request."""
        call = _Call(RelayStub(self._channel(endpoint)).Resolve.open())
        message = pb.ResolveRequest(
            ticket=query.ticket,
            fingerprint=query.fingerprint,
            wait_milliseconds=query.wait // MILLISECOND,
            request_id=query.request,
            hops=query.hops,
        )
        if not await call.async_begin(message, is_last=True):
            return Err(CompanionError(endpoint, FailureReason.NOT_REACHED))
        return await _async_answer(endpoint, call, query.request)

    async def async_issue_ticket(
        self, endpoint: Endpoint, service: str
    ) -> Result[str, CompanionError]:
        """Request a ticket that is issued by a companion."""
        stub = RelayStub(self._channel(endpoint))
        try:
            async with asyncio.timeout(PEER_RESPONSE_TIMEOUT.total_seconds()):
                reply = await stub.IssueTicket(pb.IssueTicketRequest(service=service))
        except _CONNECTION_ERRORS:
            return Err(CompanionError(endpoint, FailureReason.NOT_REACHED))
        return Ok(reply.ticket)

    async def async_run(
        self, endpoint: Endpoint, request: Request
    ) -> Result[Answer, CompanionError]:
        """Hand over a request to a companion and return its answer."""
        call = _Call(RelayStub(self._channel(endpoint)).Run.open())
        head = encode_request(request, self._service, self._clock)
        if not await call.async_begin(head, is_last=False):
            return Err(CompanionError(endpoint, FailureReason.NOT_REACHED))
        call.send_body(request.body)
        return await _async_answer(endpoint, call, request.identifier)

    def _channel(self, endpoint: Endpoint) -> Channel:
        """Return the channel to a companion, closing the oldest over the limit."""
        channel = self._channels.get(endpoint)
        if channel is None:
            if len(self._channels) >= MAX_CHANNELS:
                self._channels.pop(next(iter(self._channels))).close()
            channel = open_channel(endpoint, window_bytes=RELAY_WINDOW_BYTES)
            self._channels[endpoint] = channel
        return channel


class _Call:
    """One call whose stream stays open until its answer has been read."""

    def __init__(self, stream: Stream[Any, pb.RelayPart]) -> None:
        """Initialize with a stream that is not open yet."""
        self._stream = stream
        self._sending: asyncio.Task[None] | None = None

    async def async_begin(self, message: Any, *, is_last: bool) -> bool:
        """Send the first message; return False if the companion is unreachable."""
        await self._stream.__aenter__()
        try:
            async with asyncio.timeout(PEER_RESPONSE_TIMEOUT.total_seconds()):
                await self._stream.send_message(message, end=is_last)
                await self._stream.recv_initial_metadata()
        except _CONNECTION_ERRORS:
            await self.async_close()
            return False
        except BaseException:
            await self.async_close()
            raise
        return True

    def send_body(self, body: AsyncIterator[bytes]) -> None:
        """Send a body while the answer is awaited."""
        self._sending = asyncio.create_task(self._async_send(body))

    async def async_receive(self) -> pb.RelayPart | None:
        """Return the next part of the answer, or None after the last."""
        return await self._stream.recv_message()

    async def async_close(self) -> None:
        """End the call, cancelling a transfer that is in progress."""
        if self._sending is not None:
            self._sending.cancel()
        with contextlib.suppress(Exception):
            await self._stream.cancel()
        with contextlib.suppress(Exception):
            await self._stream.__aexit__(None, None, None)

    async def _async_send(self, body: AsyncIterator[bytes]) -> None:
        """Send a body and its end mark; a broken body cancels the call."""
        try:
            async for chunk in body:
                await self._stream.send_message(pb.RelayPart(data=chunk))
            await self._stream.send_message(pb.RelayPart(end=True), end=True)
        except RequestBroken:
            await self._stream.cancel()
        except _CONNECTION_ERRORS:
            return


class _RelayedBody(AsyncIterator[bytes]):
    """Body of an answer that another companion sends."""

    def __init__(self, call: _Call) -> None:
        """Initialize with the call to read from."""
        self._call = call
        self._has_ended = False

    async def __anext__(self) -> bytes:
        """Return the next chunk; raise ``AnswerBroken`` if the end mark is missing."""
        if self._has_ended:
            raise StopAsyncIteration
        try:
            part = await self._call.async_receive()
        except _CONNECTION_ERRORS as error:
            await self.aclose()
            raise AnswerBroken(type(error).__name__) from error
        if part is None:
            await self.aclose()
            raise AnswerBroken("the companion broke off its answer")
        if part.WhichOneof("part") == "end":
            self._has_ended = True
            await self.aclose()
            raise StopAsyncIteration
        return part.data

    async def aclose(self) -> None:
        """End the call."""
        await self._call.async_close()


async def _async_answer(
    endpoint: Endpoint, call: _Call, request_id: str
) -> Result[Answer, CompanionError]:
    """Wait for the head of an answer and check that it belongs to the request."""
    try:
        part = await call.async_receive()
    except _CONNECTION_ERRORS:
        part = None
    except BaseException:
        await call.async_close()
        raise
    if part is None or part.answer.request_id != request_id:
        await call.async_close()
        return Err(CompanionError(endpoint, FailureReason.BROKE_OFF))
    return Ok(decode_answer(part.answer, _RelayedBody(call)))

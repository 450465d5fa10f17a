"""Serves the other companions of the service over grpclib."""

import contextlib
from collections.abc import AsyncIterator

import attrs
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream
from result import Err, Ok

from pomelotrail_companion.requests import (
    Answer,
    AnswerBroken,
    RequestBroken,
    RequestHandler,
)
from pomelotrail_core.clock import Clock
from pomelotrail_core.tickets import TicketIssuer, TicketSealer

from . import relay_pb2 as pb
from .relay_grpc import RelayBase
from .resolver import Question, TicketResolver
from .wire import MILLISECOND, decode_request, encode_answer


@attrs.frozen
class _Parts:
    """What a companion serves with once it knows its configuration."""

    handler: RequestHandler
    resolver: TicketResolver
    mint: TicketIssuer


class RelayService(RelayBase):
    """Runs handed-over requests and tells what became of tickets.

    grpclib takes messages only as fast as they are read and sends them only as
    fast as the other side reads, so bodies are never held whole here.
    """

    def __init__(self, service: str, sealer: TicketSealer, clock: Clock) -> None:
        """Serve companions of one service, once ``attach`` has been called."""
        self._service = service
        self._sealer = sealer
        self._clock = clock
        self._parts: _Parts | None = None

    def attach(
        self, handler: RequestHandler, resolver: TicketResolver, mint: TicketIssuer
    ) -> None:
        """Run requests by ``handler`` and answer questions by ``resolver``."""
        self._parts = _Parts(handler, resolver, mint)

    @property
    def _ready(self) -> "_Parts":
        """Return the parts that serve, or tell the other side to ask again."""
        if self._parts is None:
            raise GRPCError(Status.UNAVAILABLE, "still starting; ask again")
        return self._parts

    async def Run(  # noqa: N802 (named by the protocol)
        self, stream: Stream[pb.RelayPart, pb.RelayPart]
    ) -> None:
        """Run one request."""
        parts = self._ready
        first = await stream.recv_message()
        if first is None or first.WhichOneof("part") != "request":
            raise GRPCError(Status.INVALID_ARGUMENT, "send the head first")
        self._check_service(first.request.service)
        await stream.send_initial_metadata()
        request = decode_request(first.request, _async_body(stream), self._clock)
        try:
            answer = await parts.handler.async_handle(request)
        except RequestBroken:
            raise GRPCError(Status.CANCELLED, "the request broke off") from None
        await _async_send(stream, answer, request.identifier)

    async def Resolve(  # noqa: N802 (named by the protocol)
        self, stream: Stream[pb.ResolveRequest, pb.RelayPart]
    ) -> None:
        """Tell what became of a ticket."""
        parts = self._ready
        asked = await stream.recv_message()
        assert asked is not None
        await stream.send_initial_metadata()
        match self._sealer.open(asked.ticket):
            case Err(error):
                raise GRPCError(Status.INVALID_ARGUMENT, str(error))
            case Ok(ticket):
                pass
        wait = asked.wait_milliseconds * MILLISECOND
        question = Question(
            ticket,
            asked.ticket,
            asked.fingerprint,
            self._clock.monotonic() + wait,
            asked.request_id,
            asked.hops,
        )
        answer = await parts.resolver.async_resolve(question)
        await _async_send(stream, answer, asked.request_id)

    async def IssueTicket(  # noqa: N802 (named by the protocol)
        self, stream: Stream[pb.IssueTicketRequest, pb.IssueTicketReply]
    ) -> None:
        """Issue a ticket of this companion."""
        parts = self._ready
        asked = await stream.recv_message()
        assert asked is not None
        self._check_service(asked.service)
        await stream.send_message(pb.IssueTicketReply(ticket=parts.mint.issue_sealed()))

    def _check_service(self, service: str) -> None:
        """Refuse what belongs to another service."""
        if service != self._service:
            raise GRPCError(
                Status.FAILED_PRECONDITION,
                f"this companion serves {self._service!r}, not {service!r}; "
                "check the control addresses in the configuration",
            )


async def _async_body(
    stream: Stream[pb.RelayPart, pb.RelayPart],
) -> AsyncIterator[bytes]:
    """Yield the body of a request; it breaks when the end is missing."""
    try:
        while (part := await stream.recv_message()) is not None:
            if part.WhichOneof("part") == "end":
                return
            yield part.data
    except (StreamTerminatedError, OSError) as error:
        raise RequestBroken(str(error)) from error
    raise RequestBroken("the companion that handed the request over broke off")


async def _async_send(
    stream: Stream[pb.RelayPart, pb.RelayPart], answer: Answer, request_id: str
) -> None:
    """Send an answer; a broken one ends without its end mark."""
    async with contextlib.aclosing(answer.body) as body:
        await stream.send_message(encode_answer(answer, request_id))
        try:
            async for piece in body:
                await stream.send_message(pb.RelayPart(data=piece))
        except AnswerBroken as error:
            raise GRPCError(Status.DATA_LOSS, str(error)) from error
    await stream.send_message(pb.RelayPart(end=True))

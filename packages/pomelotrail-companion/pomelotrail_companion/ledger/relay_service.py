"""Server for the other companions of the service over grpclib."""

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
from .resolver import TicketQuery, TicketResolver
from .wire import MILLISECOND, decode_request, encode_answer


@attrs.frozen
class _Components:
    """Components that are available once a configuration is in force."""

    handler: RequestHandler
    resolver: TicketResolver
    issuer: TicketIssuer


class RelayService(RelayBase):
    """Runs requests that were handed over and returns the outcome of tickets.

    grpclib applies flow control in both directions, so a whole body is never
    buffered here.
    """

    def __init__(self, service: str, sealer: TicketSealer, clock: Clock) -> None:
        """Initialize for one service; calls are served after ``attach``."""
        self._service = service
        self._sealer = sealer
        self._clock = clock
        self._components: _Components | None = None

    def attach(
        self, handler: RequestHandler, resolver: TicketResolver, issuer: TicketIssuer
    ) -> None:
        """Attach the components that run requests and resolve tickets."""
        self._components = _Components(handler, resolver, issuer)

    @property
    def _attached_components(self) -> "_Components":
        """Return the attached components; raise UNAVAILABLE if there are none."""
        if self._components is None:
            raise GRPCError(Status.UNAVAILABLE, "still starting; ask again")
        return self._components

    async def Run(  # noqa: N802 (named by the protocol)
        self, stream: Stream[pb.RelayPart, pb.RelayPart]
    ) -> None:
        """Run one request."""
        components = self._attached_components
        first = await stream.recv_message()
        if first is None or first.WhichOneof("part") != "request":
            raise GRPCError(Status.INVALID_ARGUMENT, "send the head first")
        self._check_service(first.request.service)
        await stream.send_initial_metadata()
        request = decode_request(first.request, _async_body(stream), self._clock)
        try:
            answer = await components.handler.async_handle(request)
        except RequestBroken:
            raise GRPCError(Status.CANCELLED, "the request broke off") from None
        await _async_send(stream, answer, request.identifier)

    async def Resolve(  # noqa: N802 (named by the protocol)
        self, stream: Stream[pb.ResolveRequest, pb.RelayPart]
    ) -> None:
        """Return the outcome of the request of a ticket."""
        components = self._attached_components
        message = await stream.recv_message()
        assert message is not None
        await stream.send_initial_metadata()
        match self._sealer.open(message.ticket):
            case Err(error):
                raise GRPCError(Status.INVALID_ARGUMENT, str(error))
            case Ok(ticket):
                pass
        wait = message.wait_milliseconds * MILLISECOND
        query = TicketQuery(
            ticket,
            message.ticket,
            message.fingerprint,
            self._clock.monotonic() + wait,
            message.request_id,
            message.hops,
        )
        answer = await components.resolver.async_resolve(query)
        await _async_send(stream, answer, message.request_id)

    async def IssueTicket(  # noqa: N802 (named by the protocol)
        self, stream: Stream[pb.IssueTicketRequest, pb.IssueTicketReply]
    ) -> None:
        """Issue a ticket of this companion."""
        components = self._attached_components
        message = await stream.recv_message()
        assert message is not None
        self._check_service(message.service)
        await stream.send_message(
            pb.IssueTicketReply(ticket=components.issuer.issue_sealed())
        )

    def _check_service(self, service: str) -> None:
        """Reject a call that is meant for another service."""
        if service != self._service:
            raise GRPCError(
                Status.FAILED_PRECONDITION,
                f"this companion serves {self._service!r}, not {service!r}; "
                "check the control addresses in the configuration",
            )


async def _async_body(
    stream: Stream[pb.RelayPart, pb.RelayPart],
) -> AsyncIterator[bytes]:
    """Yield the body of a request; raise ``RequestBroken`` without an end mark."""
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
    """Send an answer; a broken one is sent without an end mark."""
    async with contextlib.aclosing(answer.body) as body:
        await stream.send_message(encode_answer(answer, request_id))
        try:
            async for chunk in body:
                await stream.send_message(pb.RelayPart(data=chunk))
        except AnswerBroken as error:
            raise GRPCError(Status.DATA_LOSS, str(error)) from error
    await stream.send_message(pb.RelayPart(end=True))

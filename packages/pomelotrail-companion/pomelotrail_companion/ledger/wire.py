"""Encoding of requests and answers as messages between companions."""

from collections.abc import AsyncIterator, Iterable
from datetime import timedelta
from typing import Final

from pomelotrail_companion.requests import Answer, Header, Outcome, Refusal, Request
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.clock import Clock

from . import relay_pb2 as pb

MILLISECOND: Final = timedelta(milliseconds=1)
_KINDS: Final = {kind.slug: kind for kind in RefusalKind}


def encode_request(request: Request, service: str, clock: Clock) -> pb.RelayPart:
    """Return the head of a request that is handed over to another companion."""
    remaining = timedelta()
    if request.deadline is not None:
        remaining = max(timedelta(), request.deadline - clock.monotonic())
    head = pb.RequestHead(
        service=service,
        method=request.method,
        path=request.path,
        headers=_encode_headers(request.headers),
        deadline_milliseconds=remaining // MILLISECOND,
        request_id=request.identifier,
        hops=request.hops + 1,
        flow=request.flow,
    )
    return pb.RelayPart(request=head)


def decode_request(
    head: pb.RequestHead, body: AsyncIterator[bytes], clock: Clock
) -> Request:
    """Return the request that another companion handed over."""
    return Request(
        identifier=head.request_id,
        flow=head.flow,
        method=head.method,
        path=head.path,
        headers=_decode_headers(head.headers),
        body=body,
        deadline=clock.monotonic() + head.deadline_milliseconds * MILLISECOND,
        hops=head.hops,
    )


def encode_answer(answer: Answer, request_id: str) -> pb.RelayPart:
    """Return the head of an answer for another companion."""
    head = pb.AnswerHead(
        status=answer.status,
        headers=_encode_headers(answer.headers),
        request_id=request_id,
    )
    if answer.refusal is not None:
        head.refusal_kind = answer.refusal.kind.slug
        head.outcome = answer.refusal.outcome.value
        head.detail = answer.refusal.detail
        if answer.refusal.retry_after is not None:
            head.retry_after_milliseconds = answer.refusal.retry_after // MILLISECOND
    return pb.RelayPart(answer=head)


def decode_answer(head: pb.AnswerHead, body: AsyncIterator[bytes]) -> Answer:
    """Return the answer of another companion; proofs are not transmitted."""
    return Answer(
        head.status, _decode_headers(head.headers), body, _decode_refusal(head)
    )


def _decode_refusal(head: pb.AnswerHead) -> Refusal | None:
    """Return the refusal in an answer, or None."""
    if not head.refusal_kind:
        return None
    retry_after = head.retry_after_milliseconds * MILLISECOND
    return Refusal(
        _KINDS.get(head.refusal_kind, RefusalKind.BACKEND_FAILED),
        Outcome(head.outcome),
        retry_after or None,
        head.detail,
    )


def _encode_headers(headers: Iterable[Header]) -> list[pb.Header]:
    """Return header fields as messages."""
    return [pb.Header(name=header.name, value=header.value) for header in headers]


def _decode_headers(headers: Iterable[pb.Header]) -> tuple[Header, ...]:
    """Return the header fields in messages."""
    return tuple(Header(header.name, header.value) for header in headers)

"""Retries idempotent requests at another companion if the local server fails them.

Classes of work that are not marked ``run_once`` may run more than once.
"""

from collections.abc import AsyncIterator
from typing import Final

import attrs

from pomelotrail_core.clock import Clock

from .handler import RequestHandler
from .messages import Answer, Request
from .refusals import RefusalKind
from .relay import RequestRelay

RETRY_SHARE: Final = 0.1
RETRY_BURST: Final = 10.0
REPLAY_BYTES: Final = 65_536
_RETRIED_KINDS: Final = frozenset(
    {RefusalKind.BACKEND_FAILED, RefusalKind.SHED, RefusalKind.OVERLOADED}
)


class RetryBudget:
    """Limits retries to a share of all requests, to prevent retry storms.

    Each request adds ``share`` of a retry to the budget, up to ``burst`` retries.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        """Initialize with a full budget."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    def record_request(self) -> None:
        """Add the share of one request to the budget."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def try_consume(self) -> bool:
        """Consume one retry; return False if the budget is exhausted."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ReplayableBody:
    """Body that can be read again until more than ``limit`` bytes were read."""

    def __init__(self, body: AsyncIterator[bytes], limit: int = REPLAY_BYTES) -> None:
        """Initialize; up to ``limit`` bytes of ``body`` are buffered."""
        self._body = body
        self._limit = limit
        self._buffer: list[bytes] | None = []
        self._size = 0

    @property
    def can_replay(self) -> bool:
        """Return whether everything that was read is buffered."""
        return self._buffer is not None

    async def async_read(self) -> AsyncIterator[bytes]:
        """Yield the body from its beginning.

        A cancelled read may have ended the underlying body, so the body is not
        replayed afterwards: its remainder would be missing undetected.
        """
        for chunk in list(self._buffer or ()):
            yield chunk
        try:
            async for chunk in self._body:
                self._buffer_chunk(chunk)
                yield chunk
        except BaseException:
            self._buffer = None
            raise

    def _buffer_chunk(self, chunk: bytes) -> None:
        """Buffer a chunk, or discard the buffer over the limit."""
        self._size += len(chunk)
        if self._size > self._limit:
            self._buffer = None
        if self._buffer is not None:
            self._buffer.append(chunk)


class RetryStep(RequestHandler):
    """Retries a refused idempotent request once, at another companion."""

    def __init__(
        self,
        next_handler: RequestHandler,
        relay: RequestRelay,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        """Initialize; ``relay`` is used after ``next_handler``, within the budget."""
        self._next = next_handler
        self._relay = relay
        self._budget = budget
        self._clock = clock

    async def async_handle(self, request: Request) -> Answer:
        """Answer a request; a relayed request is not retried again."""
        request_class = request.request_class
        if request.hops or request_class is None or request_class.run_once:
            return await self._next.async_handle(request)
        self._budget.record_request()
        body = ReplayableBody(request.body)
        tried = attrs.evolve(request, body=body.async_read())
        answer = await self._next.async_handle(tried)
        if answer.refusal is None or answer.refusal.kind not in _RETRIED_KINDS:
            return answer
        if (
            not body.can_replay
            or self._is_late(request)
            or not self._budget.try_consume()
        ):
            return answer
        again = attrs.evolve(request, body=body.async_read())
        second = await self._relay.async_relay(again)
        return answer if second.refusal is not None else second

    def _is_late(self, request: Request) -> bool:
        """Return whether the deadline has passed."""
        deadline = request.deadline
        return deadline is not None and self._clock.monotonic() >= deadline

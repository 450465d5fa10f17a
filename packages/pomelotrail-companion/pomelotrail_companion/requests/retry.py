"""Runs idempotent requests elsewhere when the own backend server fails them.

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
_RETRIED: Final = frozenset(
    {RefusalKind.BACKEND_FAILED, RefusalKind.SHED, RefusalKind.OVERLOADED}
)


class RetryBudget:
    """Allows retries for a share of all requests, so that they never storm.

    Each request earns ``share`` of a retry, up to ``burst`` of them.
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        """Start with a full budget."""
        self._share = share
        self._burst = burst
        self._tokens = burst

    def earn(self) -> None:
        """Count a request."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry if the budget has it."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ReplayableBody:
    """A body that can be read again as long as little of it has been read."""

    def __init__(self, body: AsyncIterator[bytes], limit: int = REPLAY_BYTES) -> None:
        """Keep up to ``limit`` bytes of ``body``."""
        self._body = body
        self._limit = limit
        self._kept: list[bytes] | None = []
        self._size = 0

    @property
    def can_replay(self) -> bool:
        """Tell whether all that was read has been kept."""
        return self._kept is not None

    async def async_read(self) -> AsyncIterator[bytes]:
        """Yield the body from its beginning.

        A read that is cut off may have ended the body under it, so that is not
        replayed: the rest would be missing without a sign of it.
        """
        for piece in list(self._kept or ()):
            yield piece
        try:
            async for piece in self._body:
                self._keep(piece)
                yield piece
        except BaseException:
            self._kept = None
            raise

    def _keep(self, piece: bytes) -> None:
        """Keep a piece, or give up once there are too many."""
        self._size += len(piece)
        if self._size > self._limit:
            self._kept = None
        if self._kept is not None:
            self._kept.append(piece)


class RetryStep(RequestHandler):
    """Retries a refused idempotent request once, at another companion."""

    def __init__(
        self,
        next_handler: RequestHandler,
        relay: RequestRelay,
        budget: RetryBudget,
        clock: Clock,
    ) -> None:
        """Try ``next_handler`` first, then ``relay`` within the budget."""
        self._next = next_handler
        self._relay = relay
        self._budget = budget
        self._clock = clock

    async def async_handle(self, request: Request) -> Answer:
        """Answer a request; one that another companion retries is not retried."""
        request_class = request.request_class
        if request.hops or request_class is None or request_class.run_once:
            return await self._next.async_handle(request)
        self._budget.earn()
        body = ReplayableBody(request.body)
        tried = attrs.evolve(request, body=body.async_read())
        answer = await self._next.async_handle(tried)
        if answer.refusal is None or answer.refusal.kind not in _RETRIED:
            return answer
        if not body.can_replay or self._is_late(request) or not self._budget.take():
            return answer
        again = attrs.evolve(request, body=body.async_read())
        second = await self._relay.async_relay(again)
        return answer if second.refusal is not None else second

    def _is_late(self, request: Request) -> bool:
        """Tell whether the deadline has passed."""
        deadline = request.deadline
        return deadline is not None and self._clock.monotonic() >= deadline

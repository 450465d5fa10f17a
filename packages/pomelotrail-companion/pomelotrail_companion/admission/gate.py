"""Admits requests to the backend server within its concurrency limit."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Final

import attrs

from pomelotrail_companion.requests import (
    Answer,
    Outcome,
    Refusal,
    Request,
    RequestHandler,
    refuse,
)
from pomelotrail_companion.requests.refusals import RefusalKind

QUEUE_LIMIT: Final = 100
RETRY_AFTER: Final = timedelta(seconds=1)


class AdmissionGate(RequestHandler):
    """Lets at most ``limit`` requests run at once and refuses a long queue."""

    def __init__(self, limit: int, next_handler: RequestHandler) -> None:
        """Admit up to ``limit`` requests to the next step."""
        self._slots = asyncio.Semaphore(limit)
        self._next = next_handler
        self._waiting = 0

    async def async_handle(self, request: Request) -> Answer:
        """Wait for a slot, and hold it until the answer has been read.

        A stream leaves its slot with the head of its answer.
        """
        if self._waiting >= QUEUE_LIMIT:
            return refuse(Refusal(RefusalKind.OVERLOADED, Outcome.NOT_RUN, RETRY_AFTER))
        self._waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self._waiting -= 1
        try:
            answer = await self._next.async_handle(request)
        except BaseException:
            self._slots.release()
            raise
        if request.request_class is not None and request.request_class.is_stream:
            self._slots.release()
            return answer
        return attrs.evolve(answer, body=self._async_hold_slot(answer.body))

    async def _async_hold_slot(
        self, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Pass the body through and free the slot after its end."""
        try:
            async for piece in body:
                yield piece
        finally:
            self._slots.release()

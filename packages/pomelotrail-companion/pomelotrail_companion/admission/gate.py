"""Admits requests to the backend server, or refuses them before they run."""

import asyncio
import random
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
from pomelotrail_companion.requests.refusals import OUTCOME_HEADER, RefusalKind
from pomelotrail_core.clock import Clock

from .class_state import ScheduledRequest
from .const import MIN_RETRY_AFTER, RETRY_JITTER, SHED_FOR_DEADLINE, SHED_HEADER
from .messages import Decision, WorkResult
from .scheduler import Scheduler
from .slot import Slot, SlotBody, async_close

_FAILED_STATUS: Final = frozenset({502, 504})
_SHED_STATUS: Final = 503
_LOWEST_ERROR_STATUS: Final = 500
_METHODS_WITHOUT_BODY: Final = frozenset({"GET", "HEAD"})


class AdmissionGate(RequestHandler):
    """Hands requests on in the scheduler's order.

    A refusal of the gate is final before the body is read and before anything
    is sent to the backend server, so it always says "not run".
    """

    def __init__(
        self,
        scheduler: Scheduler,
        next_handler: RequestHandler,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Admit requests to ``next_handler``; ``rng`` spreads the retries."""
        self._scheduler = scheduler
        self._next = next_handler
        self._clock = clock
        self._rng = rng
        self._stream_ends: set[asyncio.Task[None]] = set()

    async def async_handle(self, request: Request) -> Answer:
        """Wait for a slot and run the request, or refuse it."""
        decided: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        scheduled = self._schedule(request, decided)
        self._scheduler.offer(scheduled)
        try:
            refusal = await self._async_wait(scheduled, decided)
        except BaseException:
            self._give_up(scheduled, decided)
            raise
        if refusal is not None:
            return self._refuse(request, refusal)
        return await self._async_run(request, scheduled)

    def _schedule(
        self, request: Request, decided: asyncio.Future[Decision]
    ) -> ScheduledRequest:
        """Return the request as the scheduler sees it."""
        kind = request.request_class
        assert kind is not None, "the dispatcher sets the class of each request"
        now = self._clock.monotonic()
        return ScheduledRequest(
            request_class=kind,
            arrived=now,
            deadline=request.deadline or now + kind.deadline,
            decide=decided.set_result,
        )

    async def _async_wait(
        self, scheduled: ScheduledRequest, decided: asyncio.Future[Decision]
    ) -> RefusalKind | None:
        """Wait for the decision, at most until the deadline of the request."""
        if not decided.done():
            left = scheduled.deadline - self._clock.monotonic()
            deadline = asyncio.ensure_future(self._clock.async_sleep(left))
            try:
                await asyncio.wait(
                    {decided, deadline}, return_when=asyncio.FIRST_COMPLETED
                )
            finally:
                deadline.cancel()
        if not decided.done():
            self._scheduler.refuse(scheduled)
            return RefusalKind.TOO_LATE
        if decided.result() is Decision.REFUSE:
            return RefusalKind.OVERLOADED
        return None

    def _give_up(
        self, scheduled: ScheduledRequest, decided: asyncio.Future[Decision]
    ) -> None:
        """Leave queue or slot when the caller has gone."""
        if not decided.done():
            self._scheduler.withdraw(scheduled)
        elif decided.result() is Decision.START:
            self._scheduler.end(scheduled, WorkResult.CANCELLED)

    def _refuse(self, request: Request, kind: RefusalKind) -> Answer:
        """Refuse a request of which nothing has run."""
        limit = self._scheduler.limit
        detail = (
            f"{limit.limit} of {limit.slots} slots in use at most, "
            f"{self._scheduler.waiting} waiting"
        )
        return refuse(Refusal(kind, Outcome.NOT_RUN, self._retry_after(), detail))

    def _retry_after(self) -> timedelta:
        """Return a wait that differs between callers."""
        return MIN_RETRY_AFTER + self._rng.random() * RETRY_JITTER

    async def _async_run(self, request: Request, scheduled: ScheduledRequest) -> Answer:
        """Run a request in the slot that it has been given."""
        slot = Slot(self._scheduler, scheduled)
        if request.method in _METHODS_WITHOUT_BODY:
            scheduled.ready_at = scheduled.started
        body = self._async_mark_ready(request.body, scheduled)
        try:
            answer = await self._next.async_handle(attrs.evolve(request, body=body))
        except BaseException:
            slot.free(WorkResult.CANCELLED)
            raise
        result = _result(answer)
        slot.learn_head(result)
        if result is WorkResult.SHED:
            return await self._async_refuse_shed(request, answer, slot)
        if result is not WorkResult.COMPLETED or scheduled.request_class.is_stream:
            slot.free(result)
            return answer
        if answer.header("content-length") is None:
            self._free_if_stream(scheduled, slot)
        return attrs.evolve(answer, body=SlotBody(answer.body, slot))

    async def _async_mark_ready(
        self, body: AsyncIterator[bytes], scheduled: ScheduledRequest
    ) -> AsyncIterator[bytes]:
        """Pass the caller's body through and note when it was whole."""
        async for piece in body:
            yield piece
        scheduled.ready_at = self._clock.monotonic()

    async def _async_refuse_shed(
        self, request: Request, answer: Answer, slot: Slot
    ) -> Answer:
        """Tell the caller that the backend server shed the request."""
        await async_close(answer.body)
        slot.free(WorkResult.SHED)
        return self._refuse(request, RefusalKind.OVERLOADED)

    def _free_if_stream(self, scheduled: ScheduledRequest, slot: Slot) -> None:
        """Take an answer without a length for a stream if it lasts."""
        task = asyncio.create_task(self._async_free_later(scheduled, slot))
        self._stream_ends.add(task)
        task.add_done_callback(self._stream_ends.discard)

    async def _async_free_later(self, scheduled: ScheduledRequest, slot: Slot) -> None:
        """Free the slot once the answer has lasted as long as the target."""
        await self._clock.async_sleep(scheduled.request_class.within)
        slot.free(WorkResult.COMPLETED)


def _result(answer: Answer) -> WorkResult:
    """Return what the head of an answer says about the work."""
    shed = answer.header(SHED_HEADER)
    is_own_refusal = answer.header(OUTCOME_HEADER) is not None
    if shed == SHED_FOR_DEADLINE:
        return WorkResult.ERRED
    if shed is not None or (is_own_refusal and answer.status == _SHED_STATUS):
        return WorkResult.SHED
    if is_own_refusal and answer.status in _FAILED_STATUS:
        return WorkResult.FAILED
    if answer.status >= _LOWEST_ERROR_STATUS or is_own_refusal:
        return WorkResult.ERRED
    return WorkResult.COMPLETED

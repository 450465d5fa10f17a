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
    """Forwards requests in the order of the scheduler.

    The gate refuses a request before its body is read and before anything is
    sent to the backend server, so its refusals always report "not run".
    """

    def __init__(
        self,
        scheduler: Scheduler,
        next_handler: RequestHandler,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Admit requests to ``next_handler``; ``rng`` adds jitter to retries."""
        self._scheduler = scheduler
        self._next = next_handler
        self._clock = clock
        self._rng = rng
        self._stream_timers: set[asyncio.Task[None]] = set()

    async def async_handle(self, request: Request) -> Answer:
        """Wait for a slot and run the request, or refuse it."""
        decided: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        scheduled = self._schedule(request, decided)
        self._scheduler.offer(scheduled)
        try:
            refusal = await self._async_wait(scheduled, decided)
        except BaseException:
            self._cancel(scheduled, decided)
            raise
        if refusal is not None:
            return self._refuse(request, refusal)
        return await self._async_run(request, scheduled)

    def _schedule(
        self, request: Request, decided: asyncio.Future[Decision]
    ) -> ScheduledRequest:
        """Return the scheduler entry of a request."""
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
            remaining = scheduled.deadline - self._clock.monotonic()
            deadline = asyncio.ensure_future(self._clock.async_sleep(remaining))
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

    def _cancel(
        self, scheduled: ScheduledRequest, decided: asyncio.Future[Decision]
    ) -> None:
        """Release the queue place or slot of a cancelled request."""
        if not decided.done():
            self._scheduler.withdraw(scheduled)
        elif decided.result() is Decision.START:
            self._scheduler.end(scheduled, WorkResult.CANCELLED)

    def _refuse(self, request: Request, kind: RefusalKind) -> Answer:
        """Refuse a request that has not run."""
        limit = self._scheduler.limit
        detail = (
            f"{limit.limit} of {limit.slots} slots in use at most, "
            f"{self._scheduler.waiting} waiting"
        )
        return refuse(Refusal(kind, Outcome.NOT_RUN, self._retry_after(), detail))

    def _retry_after(self) -> timedelta:
        """Return a retry delay with jitter, so that callers do not retry together."""
        return MIN_RETRY_AFTER + self._rng.random() * RETRY_JITTER

    async def _async_run(self, request: Request, scheduled: ScheduledRequest) -> Answer:
        """Run a request in its slot."""
        slot = Slot(self._scheduler, scheduled)
        if request.method in _METHODS_WITHOUT_BODY:
            scheduled.ready_at = scheduled.started
        body = self._async_mark_ready(request.body, scheduled)
        try:
            answer = await self._next.async_handle(attrs.evolve(request, body=body))
        except BaseException:
            slot.free(WorkResult.CANCELLED)
            raise
        result = _classify_answer(answer)
        slot.record_response_head(result)
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
        """Forward the caller's body and record when it is complete."""
        async for chunk in body:
            yield chunk
        scheduled.ready_at = self._clock.monotonic()

    async def _async_refuse_shed(
        self, request: Request, answer: Answer, slot: Slot
    ) -> Answer:
        """Refuse a request that the backend server shed."""
        await async_close(answer.body)
        slot.free(WorkResult.SHED)
        return self._refuse(request, RefusalKind.OVERLOADED)

    def _free_if_stream(self, scheduled: ScheduledRequest, slot: Slot) -> None:
        """Treat an answer without a length as a stream once it exceeds the target."""
        task = asyncio.create_task(self._async_free_after_target(scheduled, slot))
        self._stream_timers.add(task)
        task.add_done_callback(self._stream_timers.discard)

    async def _async_free_after_target(
        self, scheduled: ScheduledRequest, slot: Slot
    ) -> None:
        """Free the slot once the answer has lasted as long as the target."""
        await self._clock.async_sleep(scheduled.request_class.within)
        slot.free(WorkResult.COMPLETED)


def _classify_answer(answer: Answer) -> WorkResult:
    """Return the result of the work as shown by the head of an answer."""
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

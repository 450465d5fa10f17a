"""Runs the requests of started tickets to completion, even without a caller."""

import asyncio
import contextlib
from datetime import timedelta

import attrs

from pomelotrail_companion.requests import (
    Answer,
    BodyTooLarge,
    Outcome,
    Refusal,
    Request,
    RequestHandler,
)
from pomelotrail_companion.requests.proof import prove_by_contact
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_companion.requests.time_limit import TimeLimit, async_time_limit
from pomelotrail_core.clock import Clock
from pomelotrail_core.logs import get_logger

from .answer_pipe import AnswerPipe
from .const import EXECUTION_GRACE, MAX_ANSWER_BYTES
from .entry import Entry, KeptAnswer
from .ledger import Ledger

_LOGGER = get_logger("ledger")


class Executions:
    """Running requests of this executor, each in a task of its own.

    A caller that disconnects does not cancel its request: the request continues,
    and the ledger keeps the answer for the retry.
    """

    def __init__(
        self, ledger: Ledger, next_handler: RequestHandler, clock: Clock
    ) -> None:
        """Initialize with the handler that runs the requests."""
        self._ledger = ledger
        self._next = next_handler
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._tasks)

    def start(self, entry: Entry, request: Request) -> AnswerPipe:
        """Start the request of an entry that the ledger marked as running."""
        pipe = AnswerPipe()
        task = asyncio.create_task(self._async_run(entry, request, pipe))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return pipe

    async def async_wait_until_idle(self) -> None:
        """Wait until the outcome of every running request is recorded."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def cancel(self) -> None:
        """Cancel every running request, as a crash of the process would."""
        for task in set(self._tasks):
            task.cancel()

    async def _async_run(
        self, entry: Entry, request: Request, pipe: AnswerPipe
    ) -> None:
        """Run one request and record its outcome."""
        is_complete = False
        try:
            async with async_time_limit(
                self._remaining_time(request), self._clock
            ) as limit:
                answer = await self._next.async_handle(request)
                if answer.refusal is not None:
                    self._record_refusal(entry, request, answer.refusal)
                else:
                    await self._async_store_answer(entry, answer, pipe, limit)
            is_complete = True
        except BodyTooLarge as error:
            self._record_failure(entry, request, RefusalKind.BODY_TOO_LARGE, str(error))
        except Exception as error:
            _LOGGER.warning("Request %s failed: %r", request.identifier, error)
            detail = type(error).__name__
            self._record_failure(entry, request, RefusalKind.BACKEND_FAILED, detail)
        finally:
            await pipe.async_end(is_complete=is_complete)

    async def _async_store_answer(
        self, entry: Entry, answer: Answer, pipe: AnswerPipe, limit: TimeLimit
    ) -> None:
        """Read the whole answer; keep a small one, pipe a large one to the caller."""
        chunks: list[bytes] = []
        size = 0
        async with contextlib.aclosing(answer.body) as body:
            async for chunk in body:
                chunks.append(chunk)
                size += len(chunk)
                if size <= MAX_ANSWER_BYTES:
                    continue
                if pipe.answer is None:
                    pipe.open(answer.status, answer.headers)
                    limit.cancel()
                await pipe.async_put(chunks)
                chunks.clear()
        is_kept = size <= MAX_ANSWER_BYTES
        kept = b"".join(chunks) if is_kept else None
        self._ledger.finish(entry, KeptAnswer(answer.status, answer.headers, kept))

    def _record_failure(
        self, entry: Entry, request: Request, kind: RefusalKind, detail: str
    ) -> None:
        """Record that there is no complete answer."""
        proof = prove_by_contact(request.contact)
        outcome = Outcome.UNKNOWN if proof is None else Outcome.NOT_RUN
        self._record_refusal(entry, request, Refusal(kind, outcome, detail=detail))

    def _record_refusal(self, entry: Entry, request: Request, refusal: Refusal) -> None:
        """Record a refusal; one that is provably "not run" fences the ticket."""
        proof = prove_by_contact(request.contact)
        kept = KeptAnswer(refusal.kind.status, (), b"", refusal)
        if refusal.outcome is Outcome.NOT_RUN and proof is not None:
            entry.kept = attrs.evolve(kept, refusal=attrs.evolve(refusal, proof=proof))
            self._ledger.fence_running(entry)
            return
        unknown = attrs.evolve(refusal, outcome=Outcome.UNKNOWN, retry_after=None)
        self._ledger.finish(entry, attrs.evolve(kept, refusal=unknown))

    def _remaining_time(self, request: Request) -> timedelta | None:
        """Return the time limit of an answer until it is piped to the caller."""
        if request.deadline is None:
            return None
        remaining = request.deadline - self._clock.monotonic()
        return max(timedelta(), remaining) + EXECUTION_GRACE

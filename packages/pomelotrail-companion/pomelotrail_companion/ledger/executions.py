"""Runs started tickets to their end, whether or not a caller still waits."""

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

from .const import EXECUTION_GRACE, MAX_ANSWER_BYTES
from .entry import Entry, KeptAnswer
from .handover import Handover
from .ledger import Ledger

_LOGGER = get_logger("ledger")


class Executions:
    """The running requests of this executor, each in a task of its own.

    A caller that goes away cancels nothing: its request runs on and the ledger
    keeps the answer for the retry.
    """

    def __init__(
        self, ledger: Ledger, next_handler: RequestHandler, clock: Clock
    ) -> None:
        """Run requests by ``next_handler``."""
        self._ledger = ledger
        self._next = next_handler
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._tasks)

    def start(self, entry: Entry, request: Request) -> Handover:
        """Start the request of an entry that the ledger has just started."""
        handover = Handover()
        task = asyncio.create_task(self._async_run(entry, request, handover))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return handover

    async def async_settle(self) -> None:
        """Wait until every running request has its outcome."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def cancel(self) -> None:
        """Cut off every running request, as the death of the process would."""
        for task in set(self._tasks):
            task.cancel()

    async def _async_run(
        self, entry: Entry, request: Request, handover: Handover
    ) -> None:
        """Run one request and record its outcome."""
        is_whole = False
        try:
            async with async_time_limit(self._left(request), self._clock) as limit:
                answer = await self._next.async_handle(request)
                if answer.refusal is not None:
                    self._refused(entry, request, answer.refusal)
                else:
                    await self._async_keep(entry, answer, handover, limit)
            is_whole = True
        except BodyTooLarge as error:
            self._failed(entry, request, RefusalKind.BODY_TOO_LARGE, str(error))
        except Exception as error:
            _LOGGER.warning("Request %s failed: %r", request.identifier, error)
            detail = type(error).__name__
            self._failed(entry, request, RefusalKind.BACKEND_FAILED, detail)
        finally:
            await handover.async_end(is_whole=is_whole)

    async def _async_keep(
        self, entry: Entry, answer: Answer, handover: Handover, limit: TimeLimit
    ) -> None:
        """Read the whole answer, keep it if it is small, hand it over if not."""
        pieces: list[bytes] = []
        size = 0
        async with contextlib.aclosing(answer.body) as body:
            async for piece in body:
                pieces.append(piece)
                size += len(piece)
                if size <= MAX_ANSWER_BYTES:
                    continue
                if handover.answer is None:
                    handover.open(answer.status, answer.headers)
                    limit.lift()
                await handover.async_put(pieces)
                pieces.clear()
        is_kept = size <= MAX_ANSWER_BYTES
        kept = b"".join(pieces) if is_kept else None
        self._ledger.finish(entry, KeptAnswer(answer.status, answer.headers, kept))

    def _failed(
        self, entry: Entry, request: Request, kind: RefusalKind, detail: str
    ) -> None:
        """Record that there will be no whole answer."""
        proof = prove_by_contact(request.contact)
        outcome = Outcome.UNKNOWN if proof is None else Outcome.NOT_RUN
        self._refused(entry, request, Refusal(kind, outcome, detail=detail))

    def _refused(self, entry: Entry, request: Request, refusal: Refusal) -> None:
        """Record a refusal; one that is provably "not run" fences the ticket."""
        proof = prove_by_contact(request.contact)
        kept = KeptAnswer(refusal.kind.status, (), b"", refusal)
        if refusal.outcome is Outcome.NOT_RUN and proof is not None:
            entry.kept = attrs.evolve(kept, refusal=attrs.evolve(refusal, proof=proof))
            self._ledger.fence_running(entry)
            return
        unknown = attrs.evolve(refusal, outcome=Outcome.UNKNOWN, retry_after=None)
        self._ledger.finish(entry, attrs.evolve(kept, refusal=unknown))

    def _left(self, request: Request) -> timedelta | None:
        """Return how long an answer may take before it is handed over."""
        if request.deadline is None:
            return None
        left = request.deadline - self._clock.monotonic()
        return max(timedelta(), left) + EXECUTION_GRACE

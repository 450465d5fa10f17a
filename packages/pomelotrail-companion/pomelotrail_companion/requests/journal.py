"""Records the start and end of each request on the timeline and in the metrics."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Final

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import RequestClass
from pomelotrail_core.timeline import EventKind, Recorder

from .accounting import RequestAccounting
from .messages import Answer, Request
from .refusals import Refusal, RefusalKind

ANSWERED: Final = "answered"
REFUSED: Final = "refused"
BROKEN: Final = "broken"
GIVEN_UP: Final = "given up"
TICKET_OFFERED: Final = "ticket offered"

_LIMIT_EVENTS: Final = (
    EventKind.BACKEND_SERVER_COLD,
    EventKind.BACKEND_SERVER_WARM,
    EventKind.LIMIT_CHANGED,
)
_COLD_AND_WARM_EVENTS: Final = (
    EventKind.BACKEND_SERVER_COLD,
    EventKind.BACKEND_SERVER_WARM,
)
_DRAIN_EVENTS: Final = (EventKind.DRAINING, EventKind.ZONE_OUT)
_CAUSE_EVENTS: Final = {
    RefusalKind.OVERLOADED: _LIMIT_EVENTS,
    RefusalKind.TOO_LATE: _LIMIT_EVENTS,
    RefusalKind.SHED: _LIMIT_EVENTS,
    RefusalKind.BACKEND_FAILED: _COLD_AND_WARM_EVENTS,
    RefusalKind.LEAVING: _DRAIN_EVENTS,
    RefusalKind.UNKNOWN_CLASS: (EventKind.CONFIGURATION_IN_FORCE,),
}


@attrs.frozen
class RequestEntry:
    """Journal entry of one request that has started."""

    request: Request
    request_class: RequestClass | None
    identifier: str
    started: timedelta


class RequestJournal:
    """Records the start and the end of each request, and the cause of a refusal."""

    def __init__(
        self, clock: Clock, recorder: Recorder, accounting: RequestAccounting | None
    ) -> None:
        """Initialize; requests are counted only with an ``accounting``."""
        self._clock = clock
        self._recorder = recorder
        self._accounting = accounting

    def begin(
        self, request: Request, request_class: RequestClass | None
    ) -> RequestEntry:
        """Record the start of a request."""
        name = request_class.name if request_class else f"{request.method} of no class"
        identifier = self._recorder.record(
            EventKind.REQUEST_STARTED,
            flow=request.flow,
            request=request.identifier,
            detail=name,
        )
        if self._accounting is not None:
            self._accounting.begin()
        return RequestEntry(request, request_class, identifier, self._clock.monotonic())

    def abandon(self, entry: RequestEntry) -> None:
        """Record that a request ended without any answer."""
        self._record(entry, EventKind.REQUEST_BROKEN, entry.identifier, "no answer")
        self._count(entry, BROKEN)

    def finish(self, entry: RequestEntry, answer: Answer) -> Answer:
        """Record the answer; return it with a body that records its end."""
        if answer.refusal is not None:
            self._finish_refusal(entry, answer.refusal)
            return answer
        detail = f"status {answer.status}"
        self._record(entry, EventKind.REQUEST_ANSWERED, entry.identifier, detail)
        if entry.request_class is not None and entry.request_class.is_stream:
            self._count(entry, ANSWERED)
            return answer
        return attrs.evolve(answer, body=self._async_record_end(entry, answer.body))

    def _finish_refusal(self, entry: RequestEntry, refusal: Refusal) -> None:
        """Record a refusal with its cause.

        TICKET_REQUIRED is the usual answer to a first run-once request without a
        ticket, so it is not counted as a refusal.
        """
        status = f"status {refusal.kind.status}"
        parts = [status, refusal.kind.slug, refusal.outcome.value, refusal.detail]
        detail = ", ".join(part for part in parts if part)
        if refusal.kind is RefusalKind.TICKET_REQUIRED:
            self._record(entry, EventKind.REQUEST_ANSWERED, entry.identifier, detail)
            self._count(entry, TICKET_OFFERED)
            return
        cause = self._cause(refusal.kind) or entry.identifier
        self._record(entry, EventKind.REQUEST_REFUSED, cause, detail)
        if self._accounting is not None:
            self._accounting.record_refusal(refusal)
        self._count(entry, REFUSED)

    def _cause(self, kind: RefusalKind) -> str:
        """Return the event that caused refusals of a kind, or an empty string."""
        if kind not in _CAUSE_EVENTS:
            return ""
        latest = self._recorder.latest(*_CAUSE_EVENTS[kind])
        is_warm = latest == self._recorder.latest(EventKind.BACKEND_SERVER_WARM)
        return "" if is_warm else latest

    async def _async_record_end(
        self, entry: RequestEntry, body: AsyncIterator[bytes]
    ) -> AsyncIterator[bytes]:
        """Yield the body and record how it ended."""
        try:
            async with _closing(body):
                async for chunk in body:
                    yield chunk
        except (GeneratorExit, asyncio.CancelledError):
            self._count(entry, GIVEN_UP)
            raise
        except BaseException as error:
            detail = f"the answer broke off ({type(error).__name__})"
            self._record(entry, EventKind.REQUEST_BROKEN, entry.identifier, detail)
            self._count(entry, BROKEN)
            raise
        self._count(entry, ANSWERED)

    def _record(
        self, entry: RequestEntry, kind: EventKind, cause: str, detail: str
    ) -> None:
        """Record an event of a request."""
        self._recorder.record(
            kind,
            flow=entry.request.flow,
            request=entry.request.identifier,
            cause=cause,
            detail=detail,
        )

    def _count(self, entry: RequestEntry, result: str) -> None:
        """Count the end of a request."""
        if self._accounting is not None:
            duration = self._clock.monotonic() - entry.started
            self._accounting.end(entry.request_class, result, duration)


def _closing(
    body: AsyncIterator[bytes],
) -> contextlib.AbstractAsyncContextManager[object]:
    """Return a context manager that closes a body when its reader stops."""
    if hasattr(body, "aclose"):
        return contextlib.aclosing(body)
    return contextlib.nullcontext()

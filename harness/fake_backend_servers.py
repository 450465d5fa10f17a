"""Fake backend servers of one service; a test decides how each request ends."""

import asyncio
import enum
from collections.abc import Callable
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
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_companion.requests.refusals import RefusalKind

ATTEMPT_HEADER: Final = "x-attempt"


class Ending(enum.Enum):
    """How a backend server ends a request."""

    COMPLETE = "whole"
    SHED = "shed"
    BROKEN = "broken"


@attrs.define
class Execution:
    """One execution at a backend server, which ends when a test sets ``ending``."""

    name: str
    attempt: str
    ending: asyncio.Future[Ending]


class FakeBackendServers(RequestHandler):
    """All backend servers of a service; records the requests that were executed."""

    def __init__(self, choose_ending: Callable[[], Ending | None]) -> None:
        """End each request as ``choose_ending`` returns; None leaves it running."""
        self._choose_ending = choose_ending
        self.executions: list[Execution] = []
        self.running: list[Execution] = []

    def count(self, name: str) -> int:
        """Return how often a request was executed."""
        return sum(each.name == name for each in self.executions)

    async def async_handle(self, request: Request) -> Answer:
        """Run one request."""
        name = b"".join([chunk async for chunk in request.body]).decode()
        request.contact.begin()
        chosen = self._choose_ending()
        if chosen is Ending.SHED:
            request.contact.record_not_run()
            return refuse(Refusal(RefusalKind.SHED, Outcome.NOT_RUN))
        attempt = request.header(ATTEMPT_HEADER) or ""
        ending = asyncio.get_running_loop().create_future()
        execution = Execution(name, attempt, ending)
        self.executions.append(execution)
        if chosen is None:
            self.running.append(execution)
            chosen = await ending
        if chosen is Ending.BROKEN:
            return refuse(Refusal(RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN))
        return Answer(200, (), async_chunks(answer_body(name)))


def answer_body(name: str) -> bytes:
    """Return the complete answer body for the request of that name."""
    return f"entry {name} is in the ledger".encode()

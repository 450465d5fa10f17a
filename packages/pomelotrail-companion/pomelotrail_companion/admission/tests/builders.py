"""Builders of test data for admission control."""

import asyncio
import random
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

from harness.builders import request_class
from pomelotrail_companion.admission import (
    AdmissionGate,
    ConcurrencyLimit,
    FixedLimit,
    Scheduler,
    TargetOrder,
)
from pomelotrail_companion.requests import Answer, Header, Request, RequestHandler
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import RequestClass
from pomelotrail_core.timeline import Recorder

BOARD = request_class(name="read-board", is_stream=True)
ENTRY = request_class(
    name="post-entry",
    method="POST",
    path="/entries",
    within=timedelta(milliseconds=500),
    run_once=True,
)
CHART = request_class(name="fetch-chart", path="/archive", within=timedelta(seconds=10))


class FakeBackend(RequestHandler):
    """A backend server whose answers the test releases one by one."""

    def __init__(self) -> None:
        """Initialize without requests."""
        self.running: list[Request] = []
        self.request_count = 0
        self.max_running = 0
        self._answers: dict[str, asyncio.Future[Answer]] = {}

    async def async_handle(self, request: Request) -> Answer:
        """Run a request until the test answers it."""
        self.request_count += 1
        self.running.append(request)
        self.max_running = max(self.max_running, len(self.running))
        future = asyncio.get_running_loop().create_future()
        self._answers[request.identifier] = future
        try:
            return await future
        finally:
            self.running.remove(request)

    def answer(self, identifier: str, answer: Answer | None = None) -> None:
        """Answer a running request."""
        self._answers[identifier].set_result(answer or sized_answer())


def recorder(clock: Clock) -> Recorder:
    """Return the recorder of a companion."""
    return Recorder("ledger-1", "veraval", clock)


def gate(
    backend: RequestHandler, clock: Clock, limit: ConcurrencyLimit | None = None
) -> AdmissionGate:
    """Return a gate with the target order, by default with five slots."""
    scheduler = Scheduler(limit or FixedLimit(5), TargetOrder(), clock)
    return AdmissionGate(scheduler, backend, clock, random.Random(1))


def request(
    identifier: str, kind: RequestClass = ENTRY, deadline: float | None = 30.0
) -> Request:
    """Return a request of a class with its deadline in seconds."""
    fields: dict[str, Any] = {"identifier": identifier, "flow": "flow"}
    return Request(
        **fields,
        method=kind.method,
        path=kind.path,
        headers=(),
        body=async_chunks(),
        deadline=None if deadline is None else timedelta(seconds=deadline),
        request_class=kind,
    )


def sized_answer(status: int = 200, **headers: str) -> Answer:
    """Return an answer with a content length."""
    fields = [Header(name.replace("_", "-"), value) for name, value in headers.items()]
    return Answer(
        status, (Header("content-length", "4"), *fields), async_chunks(b"done")
    )


def stream_answer(lines: asyncio.Queue[bytes]) -> Answer:
    """Return an answer without a length that streams the lines of a queue."""
    return Answer(200, (), _async_lines(lines))


async def _async_lines(lines: asyncio.Queue[bytes]) -> AsyncIterator[bytes]:
    """Yield the lines of a queue without end."""
    while True:
        yield await lines.get()


async def async_read(answer: Answer) -> bytes:
    """Return the complete body of an answer."""
    return b"".join([chunk async for chunk in answer.body])

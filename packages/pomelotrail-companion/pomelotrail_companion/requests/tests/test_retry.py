"""Tests of retries of idempotent requests."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

from harness.builders import request_class
from harness.fake_clock import FakeClock, async_run_ready_tasks
from pomelotrail_companion.requests import (
    Answer,
    Outcome,
    Refusal,
    Request,
    RequestHandler,
    RequestRelay,
    refuse,
)
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_companion.requests.retry import (
    ReplayableBody,
    RetryBudget,
    RetryStep,
)


class _FailingServer(RequestHandler):
    """Handler that reads a request and refuses it."""

    def __init__(self, kind: RefusalKind) -> None:
        """Initialize with the kind of the refusals."""
        self.kind = kind

    async def async_handle(self, request: Request) -> Answer:
        """Read the body and refuse."""
        async for _ in request.body:
            pass
        return refuse(Refusal(self.kind, Outcome.UNKNOWN))


class _RecordingRelay(RequestRelay):
    """Relay that records the bodies of its requests."""

    def __init__(self) -> None:
        """Initialize without a received request."""
        self.bodies: list[bytes] = []

    async def async_relay(self, request: Request) -> Answer:
        """Record the body and return an answer."""
        self.bodies.append(b"".join([chunk async for chunk in request.body]))
        return Answer(200, (), async_chunks(b"ok"))


async def _async_read(body: ReplayableBody) -> bytes:
    """Read a body to its end."""
    return b"".join([chunk async for chunk in body.async_read()])


class RetryStepTest(unittest.IsolatedAsyncioTestCase):
    """A failed idempotent request is retried once, within the budget."""

    def setUp(self) -> None:
        """Create a retry step with a failing server."""
        self.clock = FakeClock()
        self.server = _FailingServer(RefusalKind.BACKEND_FAILED)
        self.relay = _RecordingRelay()
        self.step = RetryStep(self.server, self.relay, RetryBudget(0.1, 2), self.clock)

    async def _async_send(
        self, *chunks: bytes, run_once: bool = False, **changes: Any
    ) -> Answer:
        """Send one request."""
        fields = {
            "identifier": "flow-0",
            "flow": "flow",
            "method": "GET",
            "path": "/board",
            "headers": (),
            "body": async_chunks(*chunks),
            "request_class": request_class(run_once=run_once),
            **changes,
        }
        return await self.step.async_handle(Request(**fields))

    async def test_a_failed_request_is_relayed(self) -> None:
        """The other companion gets the whole body."""
        answer = await self._async_send(b"page ", b"2")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.relay.bodies, [b"page 2"])

    async def test_requests_that_are_not_retried(self) -> None:
        """Run-once, relayed, large and late requests and other refusals."""
        await self._async_send(b"x", run_once=True)
        await self._async_send(b"x", hops=1)
        await self._async_send(bytes(70_000))
        await self._async_send(b"x", deadline=timedelta())
        self.server.kind = RefusalKind.TOO_LATE
        await self._async_send(b"x")
        self.assertEqual(self.relay.bodies, [])

    async def test_a_cancelled_read_is_not_replayed(self) -> None:
        """Its remainder would be missing, although the request looks complete."""
        chunks: asyncio.Queue[bytes] = asyncio.Queue()
        chunks.put_nowait(b"first half, ")

        async def async_arrive() -> AsyncIterator[bytes]:
            """Yield chunks as they arrive."""
            while True:
                yield await chunks.get()

        body = ReplayableBody(async_arrive())
        reading = asyncio.create_task(_async_read(body))
        await async_run_ready_tasks()
        reading.cancel()
        await asyncio.wait({reading})
        self.assertFalse(body.can_replay)

    async def test_retries_are_limited_by_the_budget(self) -> None:
        """If every request fails, one in ten is retried, plus a burst."""
        for _ in range(100):
            await self._async_send(b"x")
        self.assertLessEqual(len(self.relay.bodies), 2 + 100 // 10)
        self.assertGreaterEqual(len(self.relay.bodies), 100 // 10)

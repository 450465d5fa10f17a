"""Tests of retries of idempotent requests."""

import asyncio
import unittest
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Any

from harness.builders import request_class
from harness.fake_clock import FakeClock, async_settle
from pomelotrail_companion.requests import (
    Answer,
    Outcome,
    Refusal,
    Request,
    RequestHandler,
    RequestRelay,
    refuse,
)
from pomelotrail_companion.requests.messages import async_pieces
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_companion.requests.retry import (
    ReplayableBody,
    RetryBudget,
    RetryStep,
)


class _Failing(RequestHandler):
    """A backend server that reads a request and fails it."""

    def __init__(self, kind: RefusalKind) -> None:
        """Fail with this kind of refusal."""
        self.kind = kind

    async def async_handle(self, request: Request) -> Answer:
        """Read the body and refuse."""
        async for _ in request.body:
            pass
        return refuse(Refusal(self.kind, Outcome.UNKNOWN))


class _Elsewhere(RequestRelay):
    """Another companion, which records what it was given."""

    def __init__(self) -> None:
        """Start with nothing received."""
        self.bodies: list[bytes] = []

    async def async_relay(self, request: Request) -> Answer:
        """Answer whole."""
        self.bodies.append(b"".join([piece async for piece in request.body]))
        return Answer(200, (), async_pieces(b"ok"))


async def _async_read(body: ReplayableBody) -> bytes:
    """Read a body to its end."""
    return b"".join([piece async for piece in body.async_read()])


class RetryStepTest(unittest.IsolatedAsyncioTestCase):
    """A failed idempotent request gets a second chance, within bounds."""

    def setUp(self) -> None:
        """Put a step before a failing server."""
        self.clock = FakeClock()
        self.failing = _Failing(RefusalKind.BACKEND_FAILED)
        self.elsewhere = _Elsewhere()
        self.step = RetryStep(
            self.failing, self.elsewhere, RetryBudget(0.1, 2), self.clock
        )

    async def _async_send(
        self, *pieces: bytes, run_once: bool = False, **changes: Any
    ) -> Answer:
        """Send one request."""
        fields = {
            "identifier": "flow-0",
            "flow": "flow",
            "method": "GET",
            "path": "/board",
            "headers": (),
            "body": async_pieces(*pieces),
            "request_class": request_class(run_once=run_once),
            **changes,
        }
        return await self.step.async_handle(Request(**fields))

    async def test_a_failed_request_is_answered_elsewhere(self) -> None:
        """The other companion gets the whole body."""
        answer = await self._async_send(b"page ", b"2")
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.elsewhere.bodies, [b"page 2"])

    async def test_what_must_not_be_retried(self) -> None:
        """Run-once, relayed, late, large and other refusals are left alone."""
        await self._async_send(b"x", run_once=True)
        await self._async_send(b"x", hops=1)
        await self._async_send(bytes(70_000))
        await self._async_send(b"x", deadline=timedelta())
        self.failing.kind = RefusalKind.TOO_LATE
        await self._async_send(b"x")
        self.assertEqual(self.elsewhere.bodies, [])

    async def test_a_body_that_was_cut_off_is_not_replayed(self) -> None:
        """Its rest would be missing, and the request look whole all the same."""
        arriving: asyncio.Queue[bytes] = asyncio.Queue()
        arriving.put_nowait(b"first half, ")

        async def async_arrive() -> AsyncIterator[bytes]:
            """Yield what has arrived, and wait for the rest."""
            while True:
                yield await arriving.get()

        body = ReplayableBody(async_arrive())
        reading = asyncio.create_task(_async_read(body))
        await async_settle()
        reading.cancel()
        await asyncio.wait({reading})
        self.assertFalse(body.can_replay)

    async def test_retries_never_storm(self) -> None:
        """When everything fails, one in ten requests is retried, and a burst."""
        for _ in range(100):
            await self._async_send(b"x")
        self.assertLessEqual(len(self.elsewhere.bodies), 2 + 100 // 10)
        self.assertGreaterEqual(len(self.elsewhere.bodies), 100 // 10)

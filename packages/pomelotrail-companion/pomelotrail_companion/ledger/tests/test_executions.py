"""Tests of large answers, which stream and are not kept."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

from harness.builders import token_keys
from harness.fake_clock import FakeClock, async_settle
from harness.fake_companions import caller_request
from pomelotrail_companion.ledger import Ledger
from pomelotrail_companion.ledger.const import MAX_ANSWER_BYTES, PIPE_PIECES
from pomelotrail_companion.ledger.executions import Executions
from pomelotrail_companion.requests import (
    Answer,
    AnswerBroken,
    Outcome,
    Request,
    RequestHandler,
)
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.tickets import Executor, TicketIssuer, TicketSealer

_PIECE = bytes(MAX_ANSWER_BYTES // 2)
_PIECES = 20


class _LargeAnswers(RequestHandler):
    """A backend server with large answers, of which some break off."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.sent = 0
        self.is_breaking = False

    async def async_handle(self, request: Request) -> Answer:
        """Answer with many pieces."""
        request.contact.begin()
        return Answer(200, (), self._async_body())

    async def _async_body(self) -> AsyncIterator[bytes]:
        """Yield the pieces, counting them."""
        for _ in range(_PIECES):
            self.sent += 1
            yield _PIECE
        if self.is_breaking:
            raise AnswerBroken("cut off")


class LargeAnswersTest(unittest.IsolatedAsyncioTestCase):
    """The first caller gets a large answer; a retry is told that it ran."""

    async def asyncSetUp(self) -> None:
        """Start one request with a large answer."""
        self.server = _LargeAnswers()
        executor = Executor(Endpoint("192.0.2.1", 7001), 1, 1)
        clock = FakeClock()
        mint = TicketIssuer(executor, TicketSealer(token_keys()), clock)
        ledger = Ledger(mint.now)
        executions = Executions(ledger, self.server, clock)
        self.entry = ledger.start(mint.issue(), b"same")
        self.handover = executions.start(self.entry, caller_request("r", None))

    async def _async_read(self) -> bytes:
        """Read the whole answer as the first caller."""
        await self.handover.ready.wait()
        answer = self.handover.answer
        assert answer is not None
        async with contextlib.aclosing(answer.body) as body:
            return b"".join([piece async for piece in body])

    def _assert_told(self, kind: RefusalKind, outcome: Outcome) -> None:
        """Check what a retry is told."""
        refusal = self.entry.answer().refusal
        assert refusal is not None
        self.assertIs(refusal.kind, kind)
        self.assertIs(refusal.outcome, outcome)

    async def test_the_answer_streams_no_faster_than_it_is_read(self) -> None:
        """A slow caller holds the backend server back; nothing piles up."""
        await async_settle(200)
        self.assertLessEqual(self.server.sent, PIPE_PIECES + 4)
        self.assertEqual(await self._async_read(), _PIECE * _PIECES)
        await self.entry.settled.wait()
        self._assert_told(RefusalKind.ANSWER_NOT_KEPT, Outcome.RUN)

    async def test_a_caller_that_leaves_does_not_stop_the_request(self) -> None:
        """The rest is read and dropped, and the outcome known."""
        await self.handover.ready.wait()
        self.handover.abandon()
        async with asyncio.timeout(60):
            await self.entry.settled.wait()
        self.assertEqual(self.server.sent, _PIECES)
        self._assert_told(RefusalKind.ANSWER_NOT_KEPT, Outcome.RUN)

    async def test_a_broken_answer_is_whole_for_nobody(self) -> None:
        """The reader gets an error, and a retry that the outcome is unknown."""
        self.server.is_breaking = True
        with self.assertRaises(AnswerBroken):
            await self._async_read()
        await self.entry.settled.wait()
        self._assert_told(RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)

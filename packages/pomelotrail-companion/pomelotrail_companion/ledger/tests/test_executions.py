"""Tests of large answers, which are streamed and not kept."""

import asyncio
import contextlib
import unittest
from collections.abc import AsyncIterator

from harness.builders import token_keys
from harness.fake_clock import FakeClock, async_run_ready_tasks
from harness.fake_companions import caller_request
from pomelotrail_companion.ledger import Ledger
from pomelotrail_companion.ledger.const import MAX_ANSWER_BYTES, MAX_PIPE_CHUNKS
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

_CHUNK = bytes(MAX_ANSWER_BYTES // 2)
_CHUNK_COUNT = 20


class _LargeAnswers(RequestHandler):
    """Backend server with large answers that can end incomplete."""

    def __init__(self) -> None:
        """Initialize without a sent chunk."""
        self.sent = 0
        self.is_breaking = False

    async def async_handle(self, request: Request) -> Answer:
        """Return an answer of many chunks."""
        request.contact.begin()
        return Answer(200, (), self._async_body())

    async def _async_body(self) -> AsyncIterator[bytes]:
        """Yield the chunks, counting them."""
        for _ in range(_CHUNK_COUNT):
            self.sent += 1
            yield _CHUNK
        if self.is_breaking:
            raise AnswerBroken("cut off")


class LargeAnswersTest(unittest.IsolatedAsyncioTestCase):
    """The first caller gets a large answer; a retry only gets the outcome."""

    async def asyncSetUp(self) -> None:
        """Start one request with a large answer."""
        self.server = _LargeAnswers()
        executor = Executor(Endpoint("192.0.2.1", 7001), 1, 1)
        clock = FakeClock()
        issuer = TicketIssuer(executor, TicketSealer(token_keys()), clock)
        ledger = Ledger(issuer.now)
        executions = Executions(ledger, self.server, clock)
        self.entry = ledger.start(issuer.issue(), b"same")
        self.pipe = executions.start(self.entry, caller_request("r", None))

    async def _async_read(self) -> bytes:
        """Read the whole answer as the first caller."""
        await self.pipe.ready.wait()
        answer = self.pipe.answer
        assert answer is not None
        async with contextlib.aclosing(answer.body) as body:
            return b"".join([chunk async for chunk in body])

    def _assert_retry_refused(self, kind: RefusalKind, outcome: Outcome) -> None:
        """Check the refusal that a retry gets."""
        refusal = self.entry.answer().refusal
        assert refusal is not None
        self.assertIs(refusal.kind, kind)
        self.assertIs(refusal.outcome, outcome)

    async def test_the_answer_streams_no_faster_than_it_is_read(self) -> None:
        """A slow caller slows down the backend server; chunks don't accumulate."""
        await async_run_ready_tasks(200)
        self.assertLessEqual(self.server.sent, MAX_PIPE_CHUNKS + 4)
        self.assertEqual(await self._async_read(), _CHUNK * _CHUNK_COUNT)
        await self.entry.finalized.wait()
        self._assert_retry_refused(RefusalKind.ANSWER_NOT_KEPT, Outcome.RUN)

    async def test_a_caller_that_leaves_does_not_stop_the_request(self) -> None:
        """The remainder is read and discarded, and the outcome is recorded."""
        await self.pipe.ready.wait()
        self.pipe.detach_reader()
        async with asyncio.timeout(60):
            await self.entry.finalized.wait()
        self.assertEqual(self.server.sent, _CHUNK_COUNT)
        self._assert_retry_refused(RefusalKind.ANSWER_NOT_KEPT, Outcome.RUN)

    async def test_a_broken_answer_raises_and_its_outcome_is_unknown(self) -> None:
        """The reader gets an error, and a retry gets an unknown outcome."""
        self.server.is_breaking = True
        with self.assertRaises(AnswerBroken):
            await self._async_read()
        await self.entry.finalized.wait()
        self._assert_retry_refused(RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)

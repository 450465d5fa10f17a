"""Tests of the admission gate."""

import asyncio
import gc
import unittest
from datetime import timedelta

from harness.builders import request_class
from harness.fake_clock import FakeClock, async_run_ready_tasks
from pomelotrail_companion.admission import AdaptiveLimit
from pomelotrail_companion.requests import Answer
from pomelotrail_companion.requests.refusals import OUTCOME_HEADER
from pomelotrail_core.configuration import RequestClass

from .builders import (
    BOARD,
    CHART,
    ENTRY,
    FakeBackend,
    async_read,
    gate,
    recorder,
    request,
    sized_answer,
    stream_answer,
)

_SLOTS = 5
_UNMARKED_BOARD = request_class(name="unmarked-board")


class GateTest(unittest.IsolatedAsyncioTestCase):
    """Requests pass within the limit and free their slots in time."""

    async def asyncSetUp(self) -> None:
        """Create a gate in front of a backend server controlled by the test."""
        self.clock = FakeClock()
        self.backend = FakeBackend()
        self.gate = gate(self.backend, self.clock)

    @property
    def running(self) -> list[str]:
        """Return the requests that the backend server is processing."""
        return [each.identifier for each in self.backend.running]

    async def async_start(
        self, identifier: str, kind: RequestClass = ENTRY, deadline: float = 30.0
    ) -> asyncio.Task[Answer]:
        """Start a request."""
        handled = self.gate.async_handle(request(identifier, kind, deadline))
        task = asyncio.create_task(handled)
        await async_run_ready_tasks()
        return task

    async def async_fill(self, kind: RequestClass = ENTRY) -> list[asyncio.Task]:
        """Fill every slot."""
        return [await self.async_start(f"full-{n}", kind) for n in range(_SLOTS)]

    async def test_marked_streams_free_their_slot_at_the_head(self) -> None:
        """A long-lived stream holds no slot after the head of its answer."""
        await self.async_fill(BOARD)
        for number in range(_SLOTS):
            self.backend.answer(f"full-{number}", stream_answer(asyncio.Queue()))
        await self.async_start("entry")
        self.assertEqual(self.running, ["entry"])

    async def test_unmarked_streams_free_their_slot_after_the_target(self) -> None:
        """An answer without a length that outlasts the target counts as a stream."""
        boards = await self.async_fill(_UNMARKED_BOARD)
        for number in range(_SLOTS):
            self.backend.answer(f"full-{number}", stream_answer(asyncio.Queue()))
        entry = await self.async_start("entry")
        self.assertEqual(self.running, [])
        await self.clock.async_advance(_UNMARKED_BOARD.within)
        self.assertEqual(self.running, ["entry"])
        self.backend.answer("entry")
        self.assertEqual(await async_read(await entry), b"done")
        self.assertTrue(all(board.done() for board in boards))

    async def test_sized_answer_holds_its_slot_until_it_is_read(self) -> None:
        """An answer with a length occupies its slot until its body is sent."""
        tasks = await self.async_fill(CHART)
        await self.async_start("next", CHART)
        self.backend.answer("full-0")
        answer = await tasks[0]
        await async_run_ready_tasks()
        self.assertNotIn("next", self.running)
        await async_read(answer)
        await async_run_ready_tasks()
        self.assertIn("next", self.running)

    async def test_unread_body_frees_its_slot(self) -> None:
        """An answer that the caller edge never reads must not leak its slot."""
        tasks = await self.async_fill()
        self.backend.answer("full-0")
        await tasks[0]
        tasks.clear()
        gc.collect()
        await self.async_start("next")
        self.assertIn("next", self.running)

    async def test_cancelled_request_takes_no_slot(self) -> None:
        """A cancelled request is removed, even if it is cancelled as it starts."""
        await self.async_fill()
        queued = await self.async_start("queued")
        queued.cancel()
        await async_run_ready_tasks()
        self.backend.answer("full-0", sized_answer(500))
        await async_run_ready_tasks()
        started = await self.async_start("started")
        self.assertIn("started", self.running)
        granted = await self.async_start("granted")
        self.backend.answer("started", sized_answer(500))
        await asyncio.sleep(0)
        granted.cancel()
        started.cancel()
        await async_run_ready_tasks()
        await self.async_start("last")
        self.assertIn("last", self.running)

    async def test_deadline_in_the_queue_is_refused_as_not_run(self) -> None:
        """A request whose deadline expires in the queue is refused and never sent."""
        await self.async_fill()
        queued = await self.async_start("queued", deadline=0.2)
        await self.clock.async_advance(timedelta(milliseconds=200))
        answer = await queued
        self.assertEqual(answer.status, 504)
        self.assertEqual(answer.header(OUTCOME_HEADER), "not-run")
        self.assertEqual(self.backend.request_count, _SLOTS)

    async def test_predicted_late_request_is_refused_with_retry_after(self) -> None:
        """A request with a predicted wait beyond its target is refused at once."""
        first = await self.async_start("first")
        await self.clock.async_advance(timedelta(milliseconds=400))
        self.backend.answer("first")
        await async_read(await first)
        await self.async_fill()
        refused = []
        for number in range(12):
            refused.append(await self.async_start(f"late-{number}"))
        self.assertTrue(refused[-1].done())
        answer = await refused[-1]
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.header(OUTCOME_HEADER), "not-run")
        self.assertIn(answer.header("retry-after"), ("1", "2", "3"))
        self.assertNotIn("late-11", self.running)

    async def test_shed_answer_is_a_refusal_and_evidence(self) -> None:
        """The documented shed answer of the backend server drops the limit to 1."""
        limit = AdaptiveLimit(_SLOTS, self.clock, recorder(self.clock))
        limit._limit = _SLOTS
        self.gate = gate(self.backend, self.clock, limit)
        tasks = await self.async_fill()
        self.backend.answer("full-0", sized_answer(503, request_shed="overload"))
        answer = await tasks[0]
        self.assertEqual(answer.header(OUTCOME_HEADER), "not-run")
        self.assertEqual(limit.limit, 1)
        await self.async_start("next")
        self.assertNotIn("next", self.running)

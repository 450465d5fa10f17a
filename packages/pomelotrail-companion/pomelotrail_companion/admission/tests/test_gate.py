"""Tests of the gate in front of the backend server."""

import asyncio
import gc
import unittest
from datetime import timedelta

from harness.builders import request_class
from harness.fake_clock import FakeClock, async_settle
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
    open_answer,
    recorder,
    request,
    sized_answer,
)

_SLOTS = 5
_UNMARKED_BOARD = request_class(name="unmarked-board")


class GateTest(unittest.IsolatedAsyncioTestCase):
    """Requests pass within the limit and leave their slot in time."""

    async def asyncSetUp(self) -> None:
        """Stand a gate before a backend server that the test answers for."""
        self.clock = FakeClock()
        self.backend = FakeBackend()
        self.gate = gate(self.backend, self.clock)

    @property
    def running(self) -> list[str]:
        """Return the requests that the backend server works on."""
        return [each.identifier for each in self.backend.running]

    async def async_start(
        self, identifier: str, kind: RequestClass = ENTRY, deadline: float = 30.0
    ) -> asyncio.Task[Answer]:
        """Start a request."""
        handled = self.gate.async_handle(request(identifier, kind, deadline))
        task = asyncio.create_task(handled)
        await async_settle()
        return task

    async def async_fill(self, kind: RequestClass = ENTRY) -> list[asyncio.Task]:
        """Fill every slot."""
        return [await self.async_start(f"full-{n}", kind) for n in range(_SLOTS)]

    async def test_open_boards_leave_room_for_entries(self) -> None:
        """Boards that stay open all day hold no slot once their head is there."""
        await self.async_fill(BOARD)
        for number in range(_SLOTS):
            self.backend.answer(f"full-{number}", open_answer(asyncio.Queue()))
        await self.async_start("entry")
        self.assertEqual(self.running, ["entry"])

    async def test_unmarked_streams_leave_room_after_their_target(self) -> None:
        """An answer without a length that lasts is taken for a stream."""
        boards = await self.async_fill(_UNMARKED_BOARD)
        for number in range(_SLOTS):
            self.backend.answer(f"full-{number}", open_answer(asyncio.Queue()))
        entry = await self.async_start("entry")
        self.assertEqual(self.running, [])
        await self.clock.async_advance(_UNMARKED_BOARD.within)
        self.assertEqual(self.running, ["entry"])
        self.backend.answer("entry")
        self.assertEqual(await async_read(await entry), b"done")
        self.assertTrue(all(board.done() for board in boards))

    async def test_sized_answer_holds_its_slot_until_it_is_read(self) -> None:
        """A backend server still works while it sends an answer with a length."""
        tasks = await self.async_fill(CHART)
        await self.async_start("next", CHART)
        self.backend.answer("full-0")
        answer = await tasks[0]
        await async_settle()
        self.assertNotIn("next", self.running)
        await async_read(answer)
        await async_settle()
        self.assertIn("next", self.running)

    async def test_unread_body_frees_its_slot(self) -> None:
        """An answer that the caller edge never reads holds no slot for ever."""
        tasks = await self.async_fill()
        self.backend.answer("full-0")
        await tasks[0]
        tasks.clear()
        gc.collect()
        await self.async_start("next")
        self.assertIn("next", self.running)

    async def test_caller_that_leaves_the_queue_takes_no_slot(self) -> None:
        """A cancelled request is forgotten, also at the moment of its start."""
        await self.async_fill()
        queued = await self.async_start("queued")
        queued.cancel()
        await async_settle()
        self.backend.answer("full-0", sized_answer(500))
        await async_settle()
        started = await self.async_start("started")
        self.assertIn("started", self.running)
        granted = await self.async_start("granted")
        self.backend.answer("started", sized_answer(500))
        await asyncio.sleep(0)
        granted.cancel()
        started.cancel()
        await async_settle()
        await self.async_start("last")
        self.assertIn("last", self.running)

    async def test_deadline_in_the_queue_is_a_truthful_refusal(self) -> None:
        """A request that waited in vain is refused and never sent."""
        await self.async_fill()
        queued = await self.async_start("queued", deadline=0.2)
        await self.clock.async_advance(timedelta(milliseconds=200))
        answer = await queued
        self.assertEqual(answer.status, 504)
        self.assertEqual(answer.header(OUTCOME_HEADER), "not-run")
        self.assertEqual(self.backend.seen, _SLOTS)

    async def test_refusal_comes_early_with_a_retry_after(self) -> None:
        """A wait that must break the target is refused before the body is read."""
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
        """The backend server's documented shed makes the limit fall to 1."""
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

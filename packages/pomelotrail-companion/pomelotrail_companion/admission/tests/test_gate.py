"""Tests of the gate in front of the backend server."""

import asyncio
import unittest

from harness.fake_clock import FakeClock, async_settle
from pomelotrail_companion.admission import AdmissionGate
from pomelotrail_companion.requests import Answer

from .builders import BOARD, ENTRY, FakeBackend, open_answer, request

_SLOTS = 5


class GateTest(unittest.IsolatedAsyncioTestCase):
    """Requests pass within the limit and leave their slot in time."""

    async def asyncSetUp(self) -> None:
        """Stand a gate before a backend server that the test answers for."""
        self.clock = FakeClock()
        self.backend = FakeBackend()
        self.gate = AdmissionGate(_SLOTS, self.backend)

    def start(self, identifier: str, kind=ENTRY) -> asyncio.Task[Answer]:  # noqa: ANN001
        """Start a request."""
        return asyncio.create_task(self.gate.async_handle(request(identifier, kind)))

    async def test_open_boards_leave_room_for_entries(self) -> None:
        """Boards that stay open all day hold no slot once their head is there."""
        boards = []
        for number in range(_SLOTS):
            boards.append(self.start(f"board-{number}", BOARD))
            await async_settle()
            self.backend.answer(f"board-{number}", open_answer(asyncio.Queue()))
            await async_settle()
        self.start("entry")
        await async_settle()
        running = [each.identifier for each in self.backend.running]
        self.assertEqual(running, ["entry"])

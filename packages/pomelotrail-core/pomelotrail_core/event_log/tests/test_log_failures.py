"""Tests of a log that can't be written for a while."""

import asyncio
import errno
import json
import unittest
from datetime import timedelta

from harness.fake_clock import FakeClock
from harness.flow_fleet import MemoryLogWriter
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog, LogWriter
from pomelotrail_core.event_log.const import (
    DRAIN_INTERVAL,
    DRAIN_TIMEOUT,
    MAX_BUFFERED_BYTES,
)

_ERRORS = (errno.EPIPE, errno.ENOSPC, errno.EIO, errno.EBADF)


class UnreliableWriter(LogWriter):
    """Accepts ``room`` bytes and raises an error while it has one."""

    def __init__(self) -> None:
        """Initialize as a writer that works."""
        self.content = b""
        self.error: OSError | None = None
        self.room = 1_000_000

    def write(self, lines: bytes) -> int:
        """Accept some bytes, or fail."""
        if self.error is not None and not self.room:
            raise self.error
        accepted = lines[: self.room]
        self.room -= len(accepted)
        self.content += accepted
        return len(accepted)

    def fail(self, number: int = errno.ENOSPC, room: int = 0) -> None:
        """Fail once ``room`` bytes are written."""
        self.error, self.room = OSError(number, "failed"), room

    def recover(self) -> None:
        """Accept everything again."""
        self.error, self.room = None, 1_000_000


class UnreliableWriterTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a writer that can fail."""

    def setUp(self) -> None:
        """Log to a writer that can fail."""
        self.clock = FakeClock()
        self.writer = UnreliableWriter()
        self.standard_error = MemoryLogWriter()
        self.counters = Counters()
        self.log = self.make_log(self.standard_error)

    def make_log(self, standard_error: LogWriter) -> EventLog:
        """Return a log."""
        return EventLog(
            "edge-1", self.clock, self.writer, self.counters, lambda: standard_error
        )

    def events(self) -> list[dict]:
        """Return the complete lines that were written."""
        return [
            json.loads(line)
            for line in self.writer.content.splitlines()
            if line.startswith(b"{") and line.endswith(b"}")
        ]


class LogFailureTest(UnreliableWriterTestCase):
    """The reader is gone, the device is full, or an error of the device."""

    def test_errors_do_not_reach_the_process(self) -> None:
        """Guards against a process that ends because its log can't be written."""
        for number in _ERRORS:
            self.writer.fail(number)
            self.log.write("part", "during")
            self.log.flush()
            self.assertIn("pomelotrail_log_failing 1", self.counters.render().decode())
            self.clock.jump(timedelta(seconds=3))
            self.writer.recover()
            self.log.flush()
            during, back = self.events()[-2:]
            self.assertEqual(during["event"], "during")
            self.assertEqual(back["event"], "log_back")
            self.assertIn(f"Errno {number}", back["problem"])
            self.assertEqual((back["for_ms"], back["dropped"]), (3_000, 0))
        self.assertIn("pomelotrail_log_failing 0", self.counters.render().decode())

    def test_memory_is_bounded(self) -> None:
        """Lines beyond the buffer are dropped and counted while the log fails."""
        self.writer.fail()
        for index in range(3_000):
            self.log.write("part", f"event_{index}", text="x" * 200)
            self.log.flush()
        self.assertLessEqual(self.log._buffered, MAX_BUFFERED_BYTES + 1)
        self.writer.recover()
        self.log.flush()
        back = self.events()[-1]
        self.assertEqual(back["event"], "log_back")
        self.assertEqual(back["dropped"], self.log.dropped)
        self.assertEqual(self.counters.value("log_lines_dropped"), self.log.dropped)
        self.assertEqual(len(self.events()) - 1 + self.log.dropped, 3_000)
        self.assertEqual(self.log._buffered, 0)

    def test_torn_line(self) -> None:
        """Guards against the rest of a line that follows what others wrote."""
        self.log.write("part", "first", text="x" * 100)
        self.log.write("part", "second")
        for _ in range(2):
            self.writer.fail(room=30)
            self.log.flush()
            self.log.flush()
        self.writer.recover()
        self.log.flush()
        events = [line["event"] for line in self.events()]
        self.assertEqual(events, ["first", "second", "log_back", "log_back"])
        self.assertEqual(self.log._buffered, 0)

    def test_slow_reader_gets_the_rest_of_a_line(self) -> None:
        """Without an error, a line goes on where it stopped."""
        self.log.write("part", "first", text="x" * 100)
        self.writer.room = 30
        self.log.flush()
        self.writer.room = 1_000
        self.log.flush()
        self.assertEqual([line["event"] for line in self.events()], ["first"])

    def test_standard_error_tells_once(self) -> None:
        """One line for each time in which the log fails."""
        self.writer.fail()
        for _ in range(3):
            self.log.write("part", "during")
            self.log.flush()
        (line,) = self.standard_error.content.splitlines()
        self.assertEqual(json.loads(line)["event"], "log_failed")

    def test_standard_error_that_fails_too(self) -> None:
        """It is counted."""
        log = self.make_log(self.writer)
        self.writer.fail()
        log.write("part", "during")
        log.flush()
        self.assertEqual(self.counters.value("log_failures_unreported"), 1)

    def test_text_without_a_form_in_utf_8(self) -> None:
        """Guards against a caller that fails on the log, for a name of a file."""
        self.log.write("part", "event", path="\udc80")
        self.assertEqual(self.log.dropped, 1)

    async def test_writing_is_tried_again(self) -> None:
        """The task goes on after a failure."""
        self.writer.fail()
        flushing = asyncio.create_task(self.log.async_flush_regularly())
        self.addCleanup(flushing.cancel)
        self.log.write("part", "during")
        while not self.counters.value("log_failures"):
            await self.clock.async_advance(timedelta(seconds=1))
        self.writer.recover()
        while len(self.events()) < 2:
            await self.clock.async_advance(timedelta(seconds=1))
        self.assertFalse(flushing.done())


class EndOfProcessTest(UnreliableWriterTestCase):
    """The last lines of a process whose reader is slow, stands still or is gone."""

    def start_drain(self, room: int = 30) -> asyncio.Task[None]:
        """Write a line that the reader takes in part, and wait for the rest."""
        self.writer.room = room
        self.log.write("process", "stopped")
        return asyncio.create_task(self.log.async_drain())

    async def test_slow_reader(self) -> None:
        """Guards against an end without its last line, or in the middle of it."""
        drain = self.start_drain()
        await self.clock.async_advance(DRAIN_TIMEOUT / 2)
        self.assertFalse(drain.done())
        self.writer.recover()
        await self.clock.async_advance(DRAIN_INTERVAL)
        self.assertTrue(drain.done())
        self.assertEqual([line["event"] for line in self.events()], ["stopped"])

    async def test_reader_that_stands_still(self) -> None:
        """The process ends nevertheless."""
        drain = self.start_drain()
        await self.clock.async_advance(DRAIN_TIMEOUT + DRAIN_INTERVAL)
        self.assertTrue(drain.done())

    async def test_reader_that_is_gone(self) -> None:
        """It isn't waited for."""
        self.writer.fail(errno.EPIPE)
        await self.start_drain(room=0)
        self.assertEqual(self.clock.monotonic(), timedelta())

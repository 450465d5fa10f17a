"""Tests of recording the start and end of requests."""

import unittest
from collections.abc import AsyncIterator
from datetime import timedelta

import attrs

from harness.builders import request_class
from harness.fake_clock import FakeClock
from pomelotrail_companion.requests.accounting import RequestAccounting
from pomelotrail_companion.requests.journal import RequestEntry, RequestJournal
from pomelotrail_companion.requests.messages import Answer, Request, async_chunks
from pomelotrail_companion.requests.refusals import (
    Outcome,
    Refusal,
    RefusalKind,
    refuse,
)
from pomelotrail_core.metrics import Metrics
from pomelotrail_core.timeline import Event, EventKind, Recorder


async def _async_broken() -> AsyncIterator[bytes]:
    """Yield an incomplete body."""
    yield b"half"
    raise ConnectionError


class RequestJournalTest(unittest.IsolatedAsyncioTestCase):
    """The end of each request is recorded with its cause and counted."""

    def setUp(self) -> None:
        """Create a journal with a stopped clock."""
        self.clock = FakeClock()
        self.recorder = Recorder("ledger-1", "veraval", self.clock)
        self.metrics = Metrics("ledger-1", "veraval")
        self.addCleanup(self.metrics.shut_down)
        accounting = RequestAccounting(self.metrics.meter("requests"))
        self.journal = RequestJournal(self.clock, self.recorder, accounting)

    def begin(self, is_stream: bool = False) -> RequestEntry:
        """Start a request of a class with a target of 300 ms."""
        request = Request("f1-0", "f1", "GET", "/board", (), async_chunks())
        return self.journal.begin(request, request_class(is_stream=is_stream))

    def last(self) -> Event:
        """Return the latest event."""
        return self.recorder.events[-1]

    def refuse(self, kind: RefusalKind) -> Event:
        """Refuse a request and return the event."""
        self.journal.finish(self.begin(), refuse(Refusal(kind, Outcome.NOT_RUN)))
        return self.last()

    def assert_metric(self, name: str, labels: str, value: int) -> None:
        """Check one value at the Prometheus endpoint."""
        pattern = rf"pomelotrail_{name}\{{[^}}]*{labels}[^}}]*\}} {value}\.0"
        self.assertRegex(self.metrics.render(), pattern)

    async def test_complete_answer_within_the_target(self) -> None:
        """The duration ends with the body, not with the head."""
        for milliseconds in (299, 301):
            entry = self.begin()
            answer = self.journal.finish(entry, Answer(200, (), async_chunks(b"x")))
            self.clock.jump(timedelta(milliseconds=milliseconds))
            self.assertEqual([chunk async for chunk in answer.body], [b"x"])
        self.assert_metric("requests_total", 'result="answered"', 2)
        self.assert_metric("requests_within_target_total", 'class="read-board"', 1)
        self.assert_metric("requests_running", "", 0)

    async def test_stream_counts_at_its_head(self) -> None:
        """A stream meets its target by the time of its head."""
        entry = self.begin(is_stream=True)
        self.journal.finish(entry, Answer(200, (), async_chunks(b"x")))
        self.assert_metric("requests_within_target_total", 'class="read-board"', 1)

    async def test_incomplete_answer(self) -> None:
        """An incomplete answer is counted as broken."""
        answer = self.journal.finish(self.begin(), Answer(200, (), _async_broken()))
        with self.assertRaises(ConnectionError):
            [chunk async for chunk in answer.body]
        self.assertIs(self.last().kind, EventKind.REQUEST_BROKEN)
        self.assert_metric("requests_total", 'result="broken"', 1)

    async def test_caller_that_gives_up(self) -> None:
        """A body that is not read to its end is closed and counted separately."""
        answer = self.journal.finish(self.begin(), Answer(200, (), async_chunks(b"x")))
        async for _ in answer.body:
            break
        await answer.body.aclose()
        self.assert_metric("requests_total", 'result="given up"', 1)

    def test_overload_of_a_cold_server_names_the_cold_event(self) -> None:
        """The refusal names the event that set the limit."""
        cold = self.recorder.record(EventKind.BACKEND_SERVER_COLD)
        self.assertEqual(self.refuse(RefusalKind.OVERLOADED).cause, cold)
        self.assertIn("overloaded, not-run", self.last().detail)
        self.assert_metric("refusals_total", 'reason="overloaded"', 1)

    def test_overload_of_a_warm_server_ignores_an_earlier_cold_event(self) -> None:
        """The cold event is no cause once the server is warm."""
        cold = self.recorder.record(EventKind.BACKEND_SERVER_COLD)
        self.recorder.record(EventKind.BACKEND_SERVER_WARM, cause=cold)
        event = self.refuse(RefusalKind.OVERLOADED)
        self.assertEqual(event.cause, self.recorder.events[-2].identifier)

    def test_leaving_names_the_draining_event(self) -> None:
        """A refusal while leaving names the start of the draining."""
        drained = self.recorder.record(EventKind.DRAINING)
        self.assertEqual(self.refuse(RefusalKind.LEAVING).cause, drained)

    def test_offer_of_a_ticket_is_no_refusal(self) -> None:
        """The first answer to a run-once request is not counted as a refusal."""
        event = self.refuse(RefusalKind.TICKET_REQUIRED)
        self.assertIs(event.kind, EventKind.REQUEST_ANSWERED)
        self.assert_metric("requests_total", 'result="ticket offered"', 1)

    def test_request_of_no_class(self) -> None:
        """A request without a class is recorded and counted as unknown."""
        request = Request("f1-0", "f1", "PUT", "/x", (), async_chunks())
        entry = self.journal.begin(request, None)
        refusal = Refusal(RefusalKind.UNKNOWN_CLASS, Outcome.NOT_RUN)
        self.journal.finish(entry, refuse(refusal))
        self.assertIs(self.last().kind, EventKind.REQUEST_REFUSED)
        self.assert_metric("requests_total", 'class="unknown"', 1)

    def test_without_accounting(self) -> None:
        """Events are recorded without an accounting."""
        journal = RequestJournal(self.clock, self.recorder, None)
        entry = attrs.evolve(self.begin(), request_class=None)
        journal.abandon(entry)
        self.assertIs(self.last().kind, EventKind.REQUEST_BROKEN)

"""Tests of counting requests without reading them."""

import unittest
from datetime import timedelta

from pomelotrail_companion.doorway import FlowBook
from pomelotrail_companion.doorway.const import (
    FIRST_REQUEST_TIMEOUT,
    OVERDUE,
    RUNNING_TIMEOUT,
    UNANSWERED_LOAD,
    UNANSWERED_MEMORY,
)
from pomelotrail_companion.doorway.flow_book import RouteTerms
from pomelotrail_companion.waiting.const import UNKNOWN_PRIORITY

_NOW = timedelta(seconds=5)


class FlowBookTest(unittest.TestCase):
    """Requests that begin, wait, run and end."""

    def setUp(self) -> None:
        """Open a flow."""
        self.book = FlowBook()
        self.booked = self.book.open(b"flow", ("192.0.2.1", 1), 1, _NOW)
        self.booked.is_open = True

    def test_opening_counts(self) -> None:
        """Its first request follows within a round trip."""
        self.assertEqual((self.book.occupancy, self.book.running), (1, 0))

    def test_request_and_answer(self) -> None:
        """A request ends with the first data of its answer."""
        self.book.note_caller_data(self.booked, 100, 50, _NOW)
        self.book.start(self.booked, _NOW)
        self.assertEqual((self.book.occupancy, self.book.running), (1, 1))
        took = self.book.note_answer(self.booked, _NOW + timedelta(milliseconds=60))
        self.assertEqual(took, timedelta(milliseconds=60))
        self.assertEqual((self.book.occupancy, self.book.running), (0, 0))

    def test_repeated_data_is_no_request(self) -> None:
        """Neither before nor after the sequence number wraps."""
        for start in (100, 2**32 - 20):
            self.booked.caller_end = None
            self.book.note_caller_data(self.booked, start, 50, _NOW)
            self.book.note_answer(self.booked, _NOW)
            self.book.note_caller_data(self.booked, start, 50, _NOW)
            self.assertEqual(self.book.occupancy, 0)

    def test_data_that_the_server_confirmed_is_no_request(self) -> None:
        """A process that has just started saw only the answer."""
        learnt = self.book.learn(b"learnt", _NOW)
        learnt.acknowledged = 150
        self.book.note_caller_data(learnt, 100, 50, _NOW)
        self.assertEqual(self.book.occupancy, 1)
        self.book.note_caller_data(learnt, 150, 50, _NOW)
        self.assertEqual(self.book.occupancy, 2)

    def test_learnt_flow_has_the_terms_of_its_address(self) -> None:
        """Whoever was offered a flow to the same address told them."""
        terms = RouteTerms(1, timedelta(milliseconds=200))
        self.book.note_terms(b"callerserver", terms)
        self.assertEqual(self.book.terms(b"othersserver"), terms)
        self.assertEqual(self.book.terms(b"callerothers").priority, UNKNOWN_PRIORITY)

    def test_opening_without_a_request(self) -> None:
        """It stops counting soon, and counts again when a request comes."""
        later = _NOW + FIRST_REQUEST_TIMEOUT
        self.book.drop_unused_openings(later - timedelta(milliseconds=1))
        self.assertEqual(self.book.occupancy, 1)
        self.book.drop_unused_openings(later)
        self.assertEqual(self.book.occupancy, 0)
        self.book.note_caller_data(self.booked, 100, 50, later)
        self.assertEqual(self.book.occupancy, 1)

    def test_opening_with_a_request(self) -> None:
        """Its request counts until it is answered."""
        self.book.note_caller_data(self.booked, 100, 50, _NOW)
        self.book.drop_unused_openings(_NOW + FIRST_REQUEST_TIMEOUT)
        self.assertEqual(self.book.occupancy, 1)

    def test_unanswered_request(self) -> None:
        """The server looks fuller while it is overdue, and for some time after."""
        self.book.note_caller_data(self.booked, 100, 50, _NOW)
        self.book.start(self.booked, _NOW)
        self.assertEqual(self.book.load(_NOW), 1)
        late = _NOW + OVERDUE
        self.assertEqual(self.book.load(late), 1 + UNANSWERED_LOAD)
        lost = _NOW + RUNNING_TIMEOUT
        self.book.sweep(lost)
        self.assertEqual((self.book.occupancy, self.book.running), (0, 0))
        self.assertEqual(self.book.load(lost), UNANSWERED_LOAD)
        self.assertEqual(self.book.load(lost + UNANSWERED_MEMORY), 0)

    def test_next_request(self) -> None:
        """Further data begins the next one."""
        self.book.note_caller_data(self.booked, 100, 50, _NOW)
        self.book.note_answer(self.booked, _NOW)
        self.book.note_caller_data(self.booked, 150, 40, _NOW)
        self.assertEqual(self.book.occupancy, 1)

    def test_closed_flow(self) -> None:
        """Its request has ended, and it is forgotten some time later."""
        self.book.close(self.booked)
        self.assertEqual(self.book.occupancy, 0)
        self.book.sweep(_NOW + timedelta(seconds=5))
        self.assertIsNone(self.book.get(b"flow"))

    def test_answer_that_never_comes(self) -> None:
        """Its slot is free again after a while."""
        self.book.note_caller_data(self.booked, 100, 50, _NOW)
        self.book.start(self.booked, _NOW)
        self.booked.used = _NOW + RUNNING_TIMEOUT
        self.book.sweep(_NOW + RUNNING_TIMEOUT)
        self.assertEqual((self.book.occupancy, self.book.running), (0, 0))

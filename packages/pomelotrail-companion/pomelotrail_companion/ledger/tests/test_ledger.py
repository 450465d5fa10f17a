"""Tests of the limits of a ledger."""

import unittest
from datetime import timedelta

from harness.builders import token_keys
from harness.fake_clock import FakeClock
from pomelotrail_companion.ledger import Ledger, LedgerLimits
from pomelotrail_companion.ledger.entry import KeptAnswer
from pomelotrail_companion.ledger.ledger import TicketStatus
from pomelotrail_companion.requests import Outcome
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.tickets import Executor, Ticket, TicketIssuer, TicketSealer

_FINGERPRINT = b"same request"


class LedgerTest(unittest.TestCase):
    """A ticket whose entry was evicted can never run again."""

    def setUp(self) -> None:
        """Create a ledger for two tickets and ten bytes of answers."""
        self.clock = FakeClock()
        executor = Executor(Endpoint("192.0.2.1", 7001), 1, 1)
        self.issuer = TicketIssuer(executor, TicketSealer(token_keys()), self.clock)
        limits = LedgerLimits(timedelta(seconds=60), entries=2, kept_bytes=10)
        self.ledger = Ledger(self.issuer.now, limits)

    def _issue(self) -> Ticket:
        """Return a ticket that is newer than all earlier ones."""
        self.clock.jump(timedelta(seconds=1))
        return self.issuer.issue()

    def _run(self, ticket: Ticket, body: bytes = b"12345678") -> None:
        """Run a ticket to completion."""
        entry = self.ledger.start(ticket, _FINGERPRINT)
        self.ledger.finish(entry, KeptAnswer(200, (), body))

    def _status(self, ticket: Ticket) -> TicketStatus:
        """Return the status of a ticket."""
        return self.ledger.check(ticket, _FINGERPRINT).status

    def test_an_evicted_run_is_forgotten_and_never_unseen(self) -> None:
        """It is unknown whether the ticket ran, but it can't run again."""
        first = self._issue()
        self._run(first)
        for _ in range(2):
            self._run(self._issue())
        self.assertEqual(self.ledger.entry_count, 2)
        self.assertIs(self._status(first), TicketStatus.FORGOTTEN)

    def test_an_evicted_fence_still_blocks_the_ticket(self) -> None:
        """A fenced ticket can't run after its entry was evicted."""
        first = self._issue()
        self.ledger.fence(first, _FINGERPRINT)
        for _ in range(2):
            self._run(self._issue())
        self.assertIs(self._status(first), TicketStatus.EXPIRED)

    def test_an_expired_ticket_that_never_ran_is_fenced(self) -> None:
        """Past the window it can't start, and it is newer than the forgotten mark."""
        self._run(self._issue())
        unused = self._issue()
        self.clock.jump(timedelta(seconds=61))
        self.assertIs(self._status(unused), TicketStatus.EXPIRED)
        self.assertTrue(self.ledger.check(unused, _FINGERPRINT).is_fenced)

    def test_a_run_past_the_window_is_forgotten(self) -> None:
        """The answer is kept for the window after it was recorded."""
        ticket = self._issue()
        self.clock.jump(timedelta(seconds=50))
        self._run(ticket)
        self.clock.jump(timedelta(seconds=59))
        self.assertIs(self._status(ticket), TicketStatus.KNOWN)
        self.clock.jump(timedelta(seconds=1))
        self.assertIs(self._status(ticket), TicketStatus.FORGOTTEN)
        self.assertEqual(self.ledger.kept_bytes, 0)

    def test_answers_are_evicted_before_outcomes(self) -> None:
        """Over the size limit the oldest body is evicted; its outcome is kept."""
        first, second = self._issue(), self._issue()
        self._run(first)
        self._run(second)
        self.assertLessEqual(self.ledger.kept_bytes, 10)
        entry = self.ledger.check(first, _FINGERPRINT).entry
        assert entry is not None
        refusal = entry.answer().refusal
        assert refusal is not None
        self.assertIs(refusal.outcome, Outcome.RUN)
        entry = self.ledger.check(second, _FINGERPRINT).entry
        assert entry is not None
        self.assertIsNone(entry.answer().refusal)

    def test_running_tickets_are_never_evicted(self) -> None:
        """While all entries are running, no other ticket can start."""
        for _ in range(2):
            self.ledger.start(self._issue(), _FINGERPRINT)
        ticket = self._issue()
        self.assertIs(self._status(ticket), TicketStatus.FULL)
        with self.assertRaisesRegex(ValueError, "full"):
            self.ledger.start(ticket, _FINGERPRINT)

    def test_a_ticket_starts_once(self) -> None:
        """Starting or fencing a ticket that has an entry raises an error."""
        ticket = self._issue()
        self._run(ticket)
        with self.assertRaisesRegex(ValueError, "known"):
            self.ledger.start(ticket, _FINGERPRINT)
        with self.assertRaisesRegex(ValueError, "known"):
            self.ledger.fence(ticket, _FINGERPRINT)

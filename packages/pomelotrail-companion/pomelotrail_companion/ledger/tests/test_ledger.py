"""Tests of the bounds of a ledger."""

import unittest
from datetime import timedelta

from harness.builders import token_keys
from harness.fake_clock import FakeClock
from pomelotrail_companion.ledger import Ledger, LedgerLimits
from pomelotrail_companion.ledger.entry import KeptAnswer
from pomelotrail_companion.ledger.ledger import Verdict
from pomelotrail_companion.requests import Outcome
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.tickets import Executor, Ticket, TicketIssuer, TicketSealer

_PRINT = b"same request"


class LedgerTest(unittest.TestCase):
    """What has been evicted can never run again."""

    def setUp(self) -> None:
        """Open a ledger for two tickets and ten bytes of answers."""
        self.clock = FakeClock()
        executor = Executor(Endpoint("192.0.2.1", 7001), 1, 1)
        self.mint = TicketIssuer(executor, TicketSealer(token_keys()), self.clock)
        limits = LedgerLimits(timedelta(seconds=60), entries=2, kept_bytes=10)
        self.ledger = Ledger(self.mint.now, limits)

    def _issue(self) -> Ticket:
        """Return a ticket that is newer than all before."""
        self.clock.jump(timedelta(seconds=1))
        return self.mint.issue()

    def _run(self, ticket: Ticket, body: bytes = b"12345678") -> None:
        """Run a ticket to its end."""
        entry = self.ledger.start(ticket, _PRINT)
        self.ledger.finish(entry, KeptAnswer(200, (), body))

    def _verdict(self, ticket: Ticket) -> Verdict:
        """Return the verdict on a ticket."""
        return self.ledger.find(ticket, _PRINT).verdict

    def test_an_evicted_run_is_forgotten_and_never_unseen(self) -> None:
        """Whether it ran is unknown; that it can't run is sure."""
        first = self._issue()
        self._run(first)
        for _ in range(2):
            self._run(self._issue())
        self.assertEqual(self.ledger.entry_count, 2)
        self.assertIs(self._verdict(first), Verdict.FORGOTTEN)

    def test_an_evicted_fence_holds(self) -> None:
        """A fenced ticket stays barred after its entry has gone."""
        first = self._issue()
        self.ledger.fence(first, _PRINT)
        for _ in range(2):
            self._run(self._issue())
        self.assertIs(self._verdict(first), Verdict.EXPIRED)

    def test_an_old_ticket_that_never_ran_is_known_not_to_have(self) -> None:
        """Past the window it can't start, and nothing older was forgotten."""
        self._run(self._issue())
        unused = self._issue()
        self.clock.jump(timedelta(seconds=61))
        self.assertIs(self._verdict(unused), Verdict.EXPIRED)
        self.assertTrue(self.ledger.find(unused, _PRINT).is_fenced)

    def test_a_run_past_the_window_is_forgotten(self) -> None:
        """The answer is kept for the window after it was given."""
        ticket = self._issue()
        self.clock.jump(timedelta(seconds=50))
        self._run(ticket)
        self.clock.jump(timedelta(seconds=59))
        self.assertIs(self._verdict(ticket), Verdict.KNOWN)
        self.clock.jump(timedelta(seconds=1))
        self.assertIs(self._verdict(ticket), Verdict.FORGOTTEN)
        self.assertEqual(self.ledger.kept_bytes, 0)

    def test_answers_give_way_before_outcomes(self) -> None:
        """Over the bound in bytes the oldest answer goes, its outcome stays."""
        first, second = self._issue(), self._issue()
        self._run(first)
        self._run(second)
        self.assertLessEqual(self.ledger.kept_bytes, 10)
        entry = self.ledger.find(first, _PRINT).entry
        assert entry is not None
        refusal = entry.answer().refusal
        assert refusal is not None
        self.assertIs(refusal.outcome, Outcome.RUN)
        entry = self.ledger.find(second, _PRINT).entry
        assert entry is not None
        self.assertIsNone(entry.answer().refusal)

    def test_running_tickets_are_never_evicted(self) -> None:
        """When all run, nothing more may start."""
        for _ in range(2):
            self.ledger.start(self._issue(), _PRINT)
        ticket = self._issue()
        self.assertIs(self._verdict(ticket), Verdict.FULL)
        with self.assertRaisesRegex(ValueError, "full"):
            self.ledger.start(ticket, _PRINT)

    def test_a_ticket_starts_once(self) -> None:
        """A second start is a fault of the caller of the ledger."""
        ticket = self._issue()
        self._run(ticket)
        with self.assertRaisesRegex(ValueError, "known"):
            self.ledger.start(ticket, _PRINT)
        with self.assertRaisesRegex(ValueError, "known"):
            self.ledger.fence(ticket, _PRINT)

"""Tests of tickets."""

import unittest
from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from harness.builders import TOKEN_KEY, token_keys
from harness.fake_clock import FakeClock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import TokenKeys
from pomelotrail_core.tickets import (
    Executor,
    Ticket,
    TicketError,
    TicketIssuer,
    TicketSealer,
)

_URL_SAFE = frozenset(
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
)
_TICKETS = st.builds(
    Ticket,
    executor=st.builds(Endpoint, st.ip_addresses(v=4).map(str), st.integers(1, 65_535)),
    incarnation=st.integers(0, 2**64 - 1),
    service_number=st.integers(0, 65_535),
    issued_at=st.datetimes(
        datetime(2000, 1, 1),  # noqa: DTZ001 (Hypothesis adds the time zone)
        datetime(2100, 1, 1),  # noqa: DTZ001
        timezones=st.just(UTC),
    ),
    nonce=st.binary(min_size=12, max_size=12),
)


class TicketSealerTest(unittest.TestCase):
    """Only the fleet can make or read a ticket."""

    @given(_TICKETS)
    def test_open_returns_the_sealed_ticket(self, ticket: Ticket) -> None:
        """Sealing keeps every field and returns URL-safe text."""
        sealer = TicketSealer(token_keys())
        text = sealer.seal(ticket)
        self.assertLessEqual(set(text), _URL_SAFE)
        self.assertEqual(sealer.open(text), Ok(ticket))

    @given(_TICKETS, st.data())
    def test_changed_ticket_is_rejected(
        self, ticket: Ticket, data: st.DataObject
    ) -> None:
        """One changed character makes a ticket unreadable."""
        sealer = TicketSealer(token_keys())
        text = sealer.seal(ticket)
        # The last character has unused bits, so it is not changed.
        position = data.draw(st.integers(0, len(text) - 2))
        other = data.draw(st.sampled_from(sorted(_URL_SAFE - {text[position]})))
        changed = text[:position] + other + text[position + 1 :]
        self.assertEqual(sealer.open(changed), Err(TicketError.UNREADABLE))

    @given(st.text(max_size=100))
    def test_arbitrary_text_is_rejected(self, text: str) -> None:
        """Any text from a caller yields an error and raises no exception."""
        self.assertIsInstance(TicketSealer(token_keys()).open(text), Err)

    def test_foreign_key_differs_from_removed_key(self) -> None:
        """A UUID is no ticket; a ticket of a removed key is unreadable."""
        sealer = TicketSealer(token_keys())
        uuid = "8e03978e-40d5-43e8-bc93-6894a57f9324"
        self.assertEqual(sealer.open(uuid), Err(TicketError.NOT_A_TICKET))
        removed = TicketSealer(TokenKeys(1, {1: b"o" * 16}))
        issuer = TicketIssuer(
            Executor(Endpoint("192.0.2.1", 1), 1, 1), removed, FakeClock()
        )
        self.assertEqual(
            sealer.open(issuer.issue_sealed()), Err(TicketError.UNREADABLE)
        )

    def test_tickets_remain_valid_after_key_rotation(self) -> None:
        """A ticket of the earlier generation opens while its key is listed."""
        executor = Executor(Endpoint("192.0.2.1", 1), 1, 1)
        previous = TicketIssuer(executor, TicketSealer(token_keys()), FakeClock())
        both = TicketSealer(TokenKeys(1, {0: TOKEN_KEY, 1: b"n" * 16}))
        ticket = both.open(previous.issue_sealed()).unwrap()
        self.assertTrue(executor.issued(ticket))


class TicketIssuerTest(unittest.TestCase):
    """Tickets have one incarnation and its own time."""

    def test_ticket_time_never_goes_backwards(self) -> None:
        """A step of the wall clock does not affect tickets."""

        class SteppingClock(FakeClock):
            """A clock whose wall time goes backwards."""

            def now(self) -> datetime:
                """Return a time that decreases as time passes."""
                return super().now() - 2 * self.monotonic()

        clock = SteppingClock()
        executor = Executor(Endpoint("192.0.2.1", 1), 1, 1)
        issuer = TicketIssuer(executor, TicketSealer(token_keys()), clock)
        first = issuer.issue()
        clock.jump(timedelta(seconds=5))
        second = issuer.issue()
        self.assertEqual(second.issued_at - first.issued_at, timedelta(seconds=5))
        self.assertNotEqual(first.nonce, second.nonce)

    def test_new_incarnation_is_another_executor(self) -> None:
        """A restart on the same address does not own earlier tickets."""
        executor = Executor(Endpoint("192.0.2.1", 1), 1, 1)
        issuer = TicketIssuer(executor, TicketSealer(token_keys()), FakeClock())
        restarted = Executor(Endpoint("192.0.2.1", 1), 2, 1)
        self.assertFalse(restarted.issued(issuer.issue()))

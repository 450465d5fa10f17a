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
    TicketMint,
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
    def test_a_sealed_ticket_opens_to_itself(self, ticket: Ticket) -> None:
        """Sealing loses nothing and gives text that is safe in a URL."""
        sealer = TicketSealer(token_keys())
        text = sealer.seal(ticket)
        self.assertLessEqual(set(text), _URL_SAFE)
        self.assertEqual(sealer.open(text), Ok(ticket))

    @given(_TICKETS, st.data())
    def test_a_changed_ticket_does_not_open(
        self, ticket: Ticket, data: st.DataObject
    ) -> None:
        """One changed character is noticed."""
        sealer = TicketSealer(token_keys())
        text = sealer.seal(ticket)
        # The last character carries unused bits, so it is left alone.
        place = data.draw(st.integers(0, len(text) - 2))
        other = data.draw(st.sampled_from(sorted(_URL_SAFE - {text[place]})))
        changed = text[:place] + other + text[place + 1 :]
        self.assertEqual(sealer.open(changed), Err(TicketError.UNREADABLE))

    @given(st.text(max_size=100))
    def test_foreign_text_is_no_ticket(self, text: str) -> None:
        """Whatever a caller sends gets an error and no exception."""
        self.assertIsInstance(TicketSealer(token_keys()).open(text), Err)

    def test_a_foreign_key_is_told_from_a_lost_one(self) -> None:
        """A UUID was never a ticket; a ticket of a removed key was one."""
        sealer = TicketSealer(token_keys())
        uuid = "8e03978e-40d5-43e8-bc93-6894a57f9324"
        self.assertEqual(sealer.open(uuid), Err(TicketError.NOT_A_TICKET))
        old = TicketSealer(TokenKeys(1, {1: b"o" * 16}))
        mint = TicketMint(Executor(Endpoint("192.0.2.1", 1), 1, 1), old, FakeClock())
        self.assertEqual(sealer.open(mint.mint()), Err(TicketError.UNREADABLE))

    def test_tickets_survive_the_rotation_of_keys(self) -> None:
        """A ticket of the earlier generation opens while its key is listed."""
        executor = Executor(Endpoint("192.0.2.1", 1), 1, 1)
        old = TicketMint(executor, TicketSealer(token_keys()), FakeClock())
        both = TicketSealer(TokenKeys(1, {0: TOKEN_KEY, 1: b"n" * 16}))
        ticket = both.open(old.mint()).unwrap()
        self.assertTrue(executor.issued(ticket))


class TicketMintTest(unittest.TestCase):
    """Tickets name one incarnation and its own time."""

    def test_the_time_of_tickets_never_steps_back(self) -> None:
        """A step of the wall clock does not reach the tickets."""

        class SteppingClock(FakeClock):
            """A clock whose wall time goes wrong."""

            def now(self) -> datetime:
                """Return a time that runs backwards."""
                return super().now() - 2 * self.monotonic()

        clock = SteppingClock()
        executor = Executor(Endpoint("192.0.2.1", 1), 1, 1)
        mint = TicketMint(executor, TicketSealer(token_keys()), clock)
        first = mint.issue()
        clock.jump(timedelta(seconds=5))
        second = mint.issue()
        self.assertEqual(second.issued_at - first.issued_at, timedelta(seconds=5))
        self.assertNotEqual(first.nonce, second.nonce)

    def test_another_incarnation_is_another_executor(self) -> None:
        """A restart on the same address does not own earlier tickets."""
        executor = Executor(Endpoint("192.0.2.1", 1), 1, 1)
        mint = TicketMint(executor, TicketSealer(token_keys()), FakeClock())
        restarted = Executor(Endpoint("192.0.2.1", 1), 2, 1)
        self.assertFalse(restarted.issued(mint.issue()))

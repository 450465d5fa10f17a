"""Issues the tickets that name this companion."""

import os
from datetime import datetime

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint

from .const import TICKET_NONCE_BYTES
from .messages import Ticket
from .sealer import TicketSealer


@attrs.frozen
class Executor:
    """The incarnation of a companion that a ticket names."""

    endpoint: Endpoint
    incarnation: int
    service_number: int

    def issued(self, ticket: Ticket) -> bool:
        """Return whether a ticket names this incarnation of this companion."""
        return self == Executor(
            ticket.executor, ticket.incarnation, ticket.service_number
        )


class TicketIssuer:
    """Issues tickets for one executor; issuing keeps no state."""

    def __init__(self, executor: Executor, sealer: TicketSealer, clock: Clock) -> None:
        """Issue tickets for ``executor``; its time starts at the current wall time."""
        self._executor = executor
        self._sealer = sealer
        self._clock = clock
        self._started_at = clock.now()
        self._started = clock.monotonic()

    @property
    def executor(self) -> Executor:
        """Return the executor that the tickets name."""
        return self._executor

    def now(self) -> datetime:
        """Return the time of this incarnation, which never goes backwards."""
        return self._started_at + (self._clock.monotonic() - self._started)

    def issue(self) -> Ticket:
        """Return a new ticket."""
        return Ticket(
            self._executor.endpoint,
            self._executor.incarnation,
            self._executor.service_number,
            self.now(),
            os.urandom(TICKET_NONCE_BYTES),
        )

    def issue_sealed(self) -> str:
        """Return a new ticket, sealed."""
        return self._sealer.seal(self.issue())

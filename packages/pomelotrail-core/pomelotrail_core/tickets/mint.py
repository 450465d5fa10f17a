"""Makes the tickets that name this companion."""

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
    """One incarnation of a companion, as tickets name it."""

    endpoint: Endpoint
    incarnation: int
    service_number: int

    def issued(self, ticket: Ticket) -> bool:
        """Tell whether a ticket names this incarnation of this companion."""
        return self == Executor(
            ticket.executor, ticket.incarnation, ticket.service_number
        )


class TicketMint:
    """Issues tickets for one executor; minting keeps no state."""

    def __init__(self, executor: Executor, sealer: TicketSealer, clock: Clock) -> None:
        """Issue tickets for ``executor``, with the time since this moment."""
        self._executor = executor
        self._sealer = sealer
        self._clock = clock
        self._started_at = clock.now()
        self._started = clock.monotonic()

    @property
    def executor(self) -> Executor:
        """Return whom the tickets name."""
        return self._executor

    def now(self) -> datetime:
        """Return the time of this incarnation, which never steps back."""
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

    def mint(self) -> str:
        """Return a new ticket, sealed."""
        return self._sealer.seal(self.issue())

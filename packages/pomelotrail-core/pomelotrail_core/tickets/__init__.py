"""Tickets: idempotency keys that name the one companion allowed to run a request."""

from .errors import TicketError
from .messages import Ticket
from .mint import Executor, TicketIssuer
from .sealer import TicketSealer

__all__ = ["Executor", "Ticket", "TicketError", "TicketIssuer", "TicketSealer"]

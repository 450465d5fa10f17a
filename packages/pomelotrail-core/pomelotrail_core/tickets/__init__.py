"""Tickets: idempotency keys that name the one companion allowed to run a request."""

from .errors import TicketError
from .issuer import Executor, TicketIssuer
from .messages import Ticket
from .sealer import TicketSealer

__all__ = ["Executor", "Ticket", "TicketError", "TicketIssuer", "TicketSealer"]

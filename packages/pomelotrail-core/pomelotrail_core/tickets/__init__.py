"""Tickets: idempotency keys that name the only companion which may run them."""

from .errors import TicketError
from .messages import Ticket
from .mint import Executor, TicketMint
from .sealer import TicketSealer

__all__ = ["Executor", "Ticket", "TicketError", "TicketMint", "TicketSealer"]

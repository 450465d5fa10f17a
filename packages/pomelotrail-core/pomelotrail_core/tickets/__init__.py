"""Tickets: idempotency keys that name the only companion which may run them."""

from .messages import Ticket

__all__ = ["Ticket"]

"""Errors of tickets."""

import enum


class TicketError(enum.Enum):
    """Reason why a text is not a readable ticket; the value names the remedy."""

    NOT_A_TICKET = (
        "the Idempotency-Key is no ticket of this system; "
        "send the request without it and use the key of the answer"
    )
    UNREADABLE = (
        "no key in the settings opens this ticket; "
        "keep the old token key in the settings until its tickets have expired"
    )

    def __str__(self) -> str:
        """Return the remedy."""
        return self.value

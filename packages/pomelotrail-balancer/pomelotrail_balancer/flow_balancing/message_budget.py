"""Rate limit for the messages of lookups."""

from datetime import timedelta

from .const import (
    LOOKUP_MESSAGES_PER_CORE_S,
    LOOKUP_MESSAGES_PER_MBIT,
    MIN_LOOKUP_MESSAGES_PER_S,
)

_SECOND = timedelta(seconds=1)


def lookup_messages_per_s(cores: float, link_mbit_s: float) -> float:
    """Return the rate of lookup messages that a VM's processor and link allow::

    lookup_messages_per_s(cores=0.5, link_mbit_s=5.0)
    """
    by_processor = cores * LOOKUP_MESSAGES_PER_CORE_S
    by_link = link_mbit_s * LOOKUP_MESSAGES_PER_MBIT
    return max(MIN_LOOKUP_MESSAGES_PER_S, min(by_processor, by_link))


class MessageBudget:
    """Token bucket with a capacity of one second of messages.

    Handles this load pattern: after a power loss every open flow is looked up, and
    none has an owner. Querying all companions would saturate a slow link or
    processor and delay the flows that can be served; while the bucket is empty,
    lookups accumulate and are sent together in the next messages.
    """

    def __init__(self, per_s: float, now: timedelta) -> None:
        """Initialize a full bucket."""
        self._per_s = per_s
        self._tokens = per_s
        self._updated_at = now

    def has_tokens(self, now: timedelta) -> bool:
        """Return whether messages may be sent; the last may overdraw the bucket."""
        gained = (now - self._updated_at) / _SECOND * self._per_s
        self._tokens = min(self._per_s, self._tokens + gained)
        self._updated_at = now
        return self._tokens > 0

    def spend(self, messages: float) -> None:
        """Remove the tokens of sent messages from the bucket."""
        self._tokens -= messages

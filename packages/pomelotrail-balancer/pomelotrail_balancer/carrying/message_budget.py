"""How many messages lookups may send."""

from datetime import timedelta

from .const import (
    LEAST_LOOKUP_MESSAGES_PER_S,
    LOOKUP_MESSAGES_PER_CORE_S,
    LOOKUP_MESSAGES_PER_MBIT,
)

_SECOND = timedelta(seconds=1)


def lookup_messages_per_s(cores: float, link_mbit_s: float) -> float:
    """Return what a VM can spare for lookups, by its processor and its link::

    lookup_messages_per_s(cores=0.5, link_mbit_s=5.0)
    """
    by_processor = cores * LOOKUP_MESSAGES_PER_CORE_S
    by_link = link_mbit_s * LOOKUP_MESSAGES_PER_MBIT
    return max(LEAST_LOOKUP_MESSAGES_PER_S, min(by_processor, by_link))


class MessageBudget:
    """A token bucket of one second's messages.

    Load pattern answered: after a power loss every open flow is looked up, and
    nobody holds any. Asking all companions would fill a slow link or processor and
    delay the flows that can be served; while the bucket is empty, lookups gather
    and share the next messages.
    """

    def __init__(self, per_s: float, now: timedelta) -> None:
        """Start with a full bucket."""
        self._per_s = per_s
        self._tokens = per_s
        self._at = now

    def has_tokens(self, now: timedelta) -> bool:
        """Tell whether messages may be sent; the last ones may overdraw the bucket."""
        gained = (now - self._at) / _SECOND * self._per_s
        self._tokens = min(self._per_s, self._tokens + gained)
        self._at = now
        return self._tokens > 0

    def spend(self, messages: float) -> None:
        """Take the messages that were sent from the bucket."""
        self._tokens -= messages

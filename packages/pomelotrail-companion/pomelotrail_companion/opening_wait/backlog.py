"""The work at a backend server and the flow that would join it."""

from datetime import timedelta

import msgspec


class QueuedWork(msgspec.Struct, frozen=True):
    """A request that waits for a slot, or is about to arrive on an accepted flow.

    ``slack`` is how long it may still wait and meet its target; it is negative for a
    request that will be late.
    """

    priority: int
    slack: timedelta

    @property
    def is_late(self) -> bool:
        """Return whether the request can't meet its target any more."""
        return self.slack < timedelta()


class Backlog(msgspec.Struct, frozen=True):
    """All work at a backend server.

    ``work`` is the observed processing time of a request and ``work_upper_bound`` that
    of nearly all. ``running`` is for how long each request at the server has run.
    ``unanswered`` is the number of requests that failures in the last seconds count as.
    ``on_time_share`` is the share of the server's time that requests on time took, and
    ``urgent_share`` the part of it by requests more urgent than the new flow.
    """

    slots: int
    work: timedelta
    work_upper_bound: timedelta
    running: tuple[timedelta, ...] = ()
    queued: tuple[QueuedWork, ...] = ()
    unanswered: int = 0
    on_time_share: float = 0.0
    urgent_share: float = 0.0


class NewFlow(msgspec.Struct, frozen=True):
    """A flow that was offered, with the settings of its route.

    ``slack`` is how long its first request may wait and meet its target. A flow that
    will be late waits for at most ``max_wait``. ``is_repeated`` is set if the caller
    has sent the opening packet before.
    """

    priority: int
    slack: timedelta
    max_wait: timedelta
    is_repeated: bool = False

"""Builders of backlogs and new flows."""

from datetime import timedelta

from pomelotrail_companion.opening_wait import Backlog, NewFlow, QueuedWork

WORK = timedelta(milliseconds=30)
URGENT = 1
ORDINARY = 2


def queued(
    count: int, slack_ms: int = 100, priority: int = ORDINARY
) -> list[QueuedWork]:
    """Return queued requests of one kind; a negative slack makes them late."""
    return [QueuedWork(priority, timedelta(milliseconds=slack_ms))] * count


def backlog(
    *requests: QueuedWork,
    running_ms: int | None = 0,
    unanswered: int = 0,
    on_time_share: float = 0.0,
    urgent_share: float = 0.0,
) -> Backlog:
    """Return the backlog of a server with one slot, by default just taken."""
    running = () if running_ms is None else (timedelta(milliseconds=running_ms),)
    return Backlog(
        1, WORK, WORK, running, requests, unanswered, on_time_share, urgent_share
    )


def flow(
    slack_ms: int = 360,
    priority: int = ORDINARY,
    max_wait_ms: int = 0,
    is_repeated: bool = False,
) -> NewFlow:
    """Return a flow of a route with a target of 400 ms, just opened."""
    slack, max_wait = (timedelta(milliseconds=ms) for ms in (slack_ms, max_wait_ms))
    return NewFlow(priority, slack, max_wait, is_repeated)

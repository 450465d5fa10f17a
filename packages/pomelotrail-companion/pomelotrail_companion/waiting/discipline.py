"""The order in which waiting requests are given to the backend server."""

import abc
from collections.abc import Iterable
from datetime import timedelta
from typing import TYPE_CHECKING

from .const import TRAVEL

if TYPE_CHECKING:
    from .request_queue import WaitingRequest


class QueueDiscipline(abc.ABC):
    """Chooses among waiting requests."""

    @abc.abstractmethod
    def choose(
        self, waiting: Iterable["WaitingRequest"], now: timedelta, work: timedelta
    ) -> "WaitingRequest":
        """Return the request to run next; there is at least one."""


class OnTimeFirst(QueueDiscipline):
    """Runs what can still meet its target before what is late anyway.

    Load pattern answered: a backlog after an outage or in a burst. In order of
    arrival, each request waits behind all late ones and is late itself, long
    after the backlog's cause has gone. Here the operators' priority comes
    first; then requests that can meet their target, the newest of them first,
    so that a few miss it widely instead of all by a little; then late requests,
    the oldest first. Requests whose callers have closed the flow come last of all:
    after an outage, callers that gave up have asked again on other flows, and work
    for nobody would make those late too.
    """

    def choose(
        self, waiting: Iterable["WaitingRequest"], now: timedelta, work: timedelta
    ) -> "WaitingRequest":
        """Return the request with the best rank."""

        def rank(request: "WaitingRequest") -> tuple[bool, bool, int, timedelta]:
            """Return the sort key of a request."""
            slack = request.target - (now - request.since) - work - TRAVEL
            is_late = slack < timedelta()
            order = request.since if is_late else -request.since
            return (request.is_abandoned, is_late, request.priority, order)

        return min(waiting, key=rank)

"""Order in which waiting requests go to the backend server."""

import abc
from collections.abc import Iterable
from datetime import timedelta

from .waiting_request import WaitingRequest


class QueueDiscipline(abc.ABC):
    """Base class for the order of waiting requests."""

    @abc.abstractmethod
    def choose(
        self, waiting: Iterable[WaitingRequest], now: timedelta, work: timedelta
    ) -> WaitingRequest:
        """Return the request to run next; ``waiting`` is not empty."""


class OnTimeFirst(QueueDiscipline):
    """Run requests that can still meet their target before late ones.

    Handles this load pattern: a backlog after an outage or in a burst. In order of
    arrival, each request waits behind all late ones and becomes late itself, long after
    the cause of the backlog has ended. Here the operators' priority comes first; then
    requests that can meet their target, the newest of them first, so that a few miss it
    widely instead of all by a little; then late requests, the oldest first. Requests
    whose callers have closed the flow come last: after an outage, callers that gave up
    have sent their requests again on other flows, and abandoned requests would make
    those late too.
    """

    def choose(
        self, waiting: Iterable[WaitingRequest], now: timedelta, work: timedelta
    ) -> WaitingRequest:
        """Return the request with the lowest sort key."""

        def rank(request: WaitingRequest) -> tuple[bool, bool, int, timedelta]:
            """Return the sort key of a request."""
            is_late = request.slack(now, work) < timedelta()
            order = request.queued if is_late else -request.queued
            return (request.is_abandoned, is_late, request.priority, order)

        return min(waiting, key=rank)


class EarliestDeadlineFirst(QueueDiscipline):
    """Run requests that can still meet their target by their deadline.

    Handles this load pattern: a backlog, where flows are admitted by the expected wait
    (see ``AdmissionByWait``). Each waiting request was promised its target, so the one
    that must start first goes first; if the newest went first, the older ones would
    become late although all were expected to be on time. The operators' priority comes
    first; late and abandoned requests come last, as with ``OnTimeFirst``.
    """

    def choose(
        self, waiting: Iterable[WaitingRequest], now: timedelta, work: timedelta
    ) -> WaitingRequest:
        """Return the request with the lowest sort key."""

        def rank(request: WaitingRequest) -> tuple[bool, bool, int, timedelta]:
            """Return the sort key of a request."""
            slack = request.slack(now, work)
            is_late = slack < timedelta()
            order = request.queued if is_late else slack
            return (request.is_abandoned, is_late, request.priority, order)

        return min(waiting, key=rank)

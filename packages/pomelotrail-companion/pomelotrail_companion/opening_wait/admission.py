"""Admission of new flows by the time that their first request would wait."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec

from .backlog import Backlog, NewFlow, QueuedWork
from .const import MAX_QUEUED_PER_SLOT, MIN_SHARE_LEFT


class Decision(msgspec.Struct, frozen=True):
    """Whether a flow is accepted, and the expected wait that decided it.

    ``wait_on_time`` is the time until a request that can meet its target gets a slot,
    and ``wait_late`` that of a request which can't.
    """

    is_accepted: bool
    is_on_time: bool
    wait_on_time: timedelta
    wait_late: timedelta


class AdmissionByWait:
    """Accepts a flow that can meet its target, whatever waits behind it.

    Handles this load pattern: after an outage, each backend server has a queue of
    requests that are late for good. A limit on the number of requests declines the new
    ones because of the old ones until the whole backlog is served, so that all callers
    get late answers for seconds. Requests that can meet their target run first (see
    ``OnTimeFirst``), so only these delay a new flow that can meet its own target.

    Also handles this load pattern: callers of urgent requests compete with others for
    too little room. Waiting requests of lower priority don't count for an urgent flow,
    and the others wait in the time that urgent ones leave.

    A flow that can't meet its target, here or because its caller has already waited
    too long, is accepted if it would be answered well within its timeout. It waits
    until all present requests have run, in the time that new ones leave, which may meet
    their target and go first. So none is kept waiting in vain in a long burst. For an
    opening packet that was sent before, the present requests alone count: if its caller
    is refused, it returns on a new flow, which takes the place of one on time::

        decision = AdmissionByWait().decide(flow, backlog)
    """

    def decide(self, flow: NewFlow, backlog: Backlog) -> Decision:
        """Return whether the backend server gets a flow."""
        queued = backlog.queued
        ahead = [
            each
            for each in queued
            if not each.is_late and each.priority <= flow.priority
        ]
        wait_on_time = _wait(backlog, ahead) / _left(backlog.urgent_share)
        wait_late = _wait(backlog, queued)
        if not flow.is_repeated:
            wait_late /= _left(backlog.on_time_share)
        is_on_time = wait_on_time <= flow.slack
        has_place = len(queued) < max(1, backlog.slots) * MAX_QUEUED_PER_SLOT
        is_accepted = has_place and (is_on_time or wait_late <= flow.max_wait)
        return Decision(is_accepted, is_on_time, wait_on_time, wait_late)


def _wait(backlog: Backlog, ahead: Sequence[QueuedWork]) -> timedelta:
    """Return the expected time until a slot is free behind some requests."""
    slots = max(1, backlog.slots)
    count = len(ahead) + backlog.unanswered
    if not count and len(backlog.running) < slots:
        return timedelta()
    remaining = (_remaining(each, backlog.work) for each in backlog.running)
    return (sum(remaining, timedelta()) + backlog.work * count) / slots


def _left(share: float) -> float:
    """Return the share of the server's time that others leave."""
    return max(MIN_SHARE_LEFT, 1 - share)


def _remaining(elapsed: timedelta, work: timedelta) -> timedelta:
    """Return the expected time until a running request is answered.

    The longer a request runs beyond the usual time, the longer it probably still runs:
    a server that has stopped responding is avoided within a few usual times.
    """
    return abs(work - elapsed)

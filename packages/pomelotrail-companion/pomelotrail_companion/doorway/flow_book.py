"""The flows of one backend server, and which of them wait for an answer."""

from collections import deque
from datetime import timedelta

import msgspec

from pomelotrail_companion.waiting.const import UNKNOWN_PRIORITY, UNKNOWN_TARGET
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES
from pomelotrail_core.flows import SEQUENCE_RANGE

from .const import (
    CLOSED_LINGER,
    FIRST_REQUEST_TIMEOUT,
    IDLE_TIMEOUT,
    MAX_FLOWS,
    OPENING_TIMEOUT,
    OVERDUE,
    REQUEST_TIMEOUT,
    RUNNING_TIMEOUT,
    UNANSWERED_LOAD,
    UNANSWERED_MEMORY,
)


class BookedFlow(msgspec.Struct, eq=False):
    """One flow.

    ``initial`` is the backend server's own initial sequence number, once it has
    accepted the flow. ``position`` is near the byte that the caller expects next.
    ``asked`` is set while a request is about to come or in
    progress, and ``started`` once the backend server was given it.
    """

    flow: bytes
    used: timedelta
    asked: timedelta | None
    balancer: Address
    opened: timedelta = timedelta()
    offer: int = 0
    started: timedelta | None = None
    initial: int | None = None
    caller_end: int | None = None
    acknowledged: int | None = None
    position: int = 0
    is_open: bool = False
    is_closed: bool = False


class RouteTerms(msgspec.Struct, frozen=True):
    """What operators set for the requests of one service address.

    ``priority`` 0 is the highest; ``target`` is the latency that they aim at.
    """

    priority: int = UNKNOWN_PRIORITY
    target: timedelta = UNKNOWN_TARGET


_UNKNOWN_TERMS = RouteTerms()


class FlowBook:
    """All flows of the backend server beside this companion.

    A request is in progress from the caller's data until the first data that
    the backend server sends back; what the data says is never read. A flow that
    is about to open counts as a request already, since its first one follows
    within a round trip; if it doesn't, the caller has probably given up::

        booked = book.open(flow, balancer, offer, now)
        book.note_caller_data(booked, sequence, size, now)
        book.occupancy
    """

    def __init__(self) -> None:
        """Start without flows."""
        self._flows: dict[bytes, BookedFlow] = {}
        self._openings: deque[BookedFlow] = deque()
        self._asked = 0
        self._running: dict[bytes, BookedFlow] = {}
        self._unanswered: deque[timedelta] = deque()
        self._terms: dict[bytes, RouteTerms] = {}

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    @property
    def occupancy(self) -> int:
        """Return the number of requests in progress or about to come."""
        return self._asked

    @property
    def running(self) -> int:
        """Return the number of requests that the backend server was given."""
        return len(self._running)

    def load(self, now: timedelta) -> int:
        """Return the occupancy, and more for requests that got no answer.

        Load pattern answered: a backend server fails to answer some requests while
        its health check is good. With every request that is overdue or was lost in
        the last seconds it looks fuller, so that new flows go to others while they
        have room.
        """
        while self._unanswered and now - self._unanswered[0] >= UNANSWERED_MEMORY:
            self._unanswered.popleft()
        running = self._running.values()
        overdue = sum(now - each.started >= OVERDUE for each in running)
        return self._asked + UNANSWERED_LOAD * (overdue + len(self._unanswered))

    def open_flows(self) -> list[BookedFlow]:
        """Return the flows that are open."""
        flows = self._flows.values()
        return [each for each in flows if each.is_open and not each.is_closed]

    def get(self, flow: bytes) -> BookedFlow | None:
        """Return a flow."""
        return self._flows.get(flow)

    def note_terms(self, flow: bytes, terms: RouteTerms) -> None:
        """Take the terms of a flow's service address, for all flows to it.

        Load pattern answered: after a restart of this process, the flows that it
        learns anew would otherwise wait behind all that were offered to it.
        """
        self._terms[flow[PACKED_ENDPOINT_BYTES:]] = terms

    def terms(self, flow: bytes) -> RouteTerms:
        """Return the terms of a flow's service address, as offered last."""
        return self._terms.get(flow[PACKED_ENDPOINT_BYTES:], _UNKNOWN_TERMS)

    def open(
        self, flow: bytes, balancer: Address, offer: int, now: timedelta
    ) -> BookedFlow:
        """Add a flow whose opening is given to the backend server."""
        self.remove(flow)
        booked = BookedFlow(flow, now, now, balancer, now, offer)
        self._add(booked)
        self._asked += 1
        self._openings.append(booked)
        return booked

    def drop_unused_openings(self, now: timedelta) -> None:
        """Stop counting flows whose first request is overdue.

        Load pattern answered: after a power loss, openings arrive whose callers
        have given up. Counted until they time out, they would make an idle
        backend server look full.
        """
        openings = self._openings
        while openings and now - openings[0].opened >= FIRST_REQUEST_TIMEOUT:
            booked = openings.popleft()
            if booked.caller_end is None:
                self._end_request(booked)

    def learn(self, flow: bytes, now: timedelta) -> BookedFlow:
        """Add an open flow of which an earlier process of this companion knew."""
        booked = BookedFlow(flow, now, None, ("", 0), is_open=True)
        self._add(booked)
        return booked

    def remove(self, flow: bytes) -> None:
        """Forget a flow."""
        booked = self._flows.pop(flow, None)
        if booked is not None:
            self._end_request(booked)

    def note_caller_data(
        self, booked: BookedFlow, sequence: int, size: int, now: timedelta
    ) -> None:
        """Note data of the caller; data that was not sent before is a request.

        Load pattern answered: after this process has started anew, callers repeat
        what an earlier one had delivered. Taken for requests, repetitions would hold
        slots and places in the queue for answers that never come.
        """
        end = (sequence + size) % SEQUENCE_RANGE
        if _reaches(booked.caller_end, end) or _reaches(booked.acknowledged, end):
            return
        booked.caller_end = end
        if booked.asked is None:
            self._asked += 1
        if booked.started is None:
            booked.asked = now

    def start(self, booked: BookedFlow, now: timedelta) -> None:
        """Note that the backend server is given the request of a flow."""
        booked.started = now
        self._running[booked.flow] = booked

    def note_answer(self, booked: BookedFlow, now: timedelta) -> timedelta | None:
        """Note data of the backend server; return how long its work took."""
        started = booked.started
        self._end_request(booked)
        return now - started if started is not None else None

    def close(self, booked: BookedFlow) -> None:
        """Note that the flow has ended."""
        booked.is_closed = True
        self._end_request(booked)

    def note_unanswered(self, booked: BookedFlow, now: timedelta) -> None:
        """Note that the backend server will not answer what it was given."""
        if booked.started is not None:
            self._unanswered.append(now)
        self._end_request(booked)

    def sweep(self, now: timedelta) -> list[BookedFlow]:
        """Drop what has ended; return the flows whose request got no answer in time."""
        unanswered = []
        for flow, booked in list(self._flows.items()):
            if now - booked.used >= _lifetime(booked):
                self.remove(flow)
            elif booked.started is not None:
                if now - booked.started >= RUNNING_TIMEOUT:
                    self.note_unanswered(booked, now)
                    unanswered.append(booked)
            elif booked.asked is not None and now - booked.asked >= REQUEST_TIMEOUT:
                self._end_request(booked)
        return unanswered

    def _add(self, booked: BookedFlow) -> None:
        """Keep a flow, dropping the oldest where there are too many."""
        if len(self._flows) >= MAX_FLOWS:
            self.remove(next(iter(self._flows)))
        self._flows[booked.flow] = booked

    def _end_request(self, booked: BookedFlow) -> None:
        """Count a request as done."""
        if booked.asked is not None:
            booked.asked = None
            self._asked -= 1
        if booked.started is not None:
            booked.started = None
            self._running.pop(booked.flow, None)


def _reaches(known: int | None, end: int) -> bool:
    """Tell whether data is known up to an end, by sequence numbers that wrap."""
    return known is not None and (known - end) % SEQUENCE_RANGE < SEQUENCE_RANGE // 2


def _lifetime(booked: BookedFlow) -> timedelta:
    """Return how long a flow is kept without a packet."""
    if booked.is_closed:
        return CLOSED_LINGER
    return IDLE_TIMEOUT if booked.is_open else OPENING_TIMEOUT

"""The flows of one backend server and their requests in progress."""

from collections import Counter, deque
from datetime import timedelta

import msgspec

from pomelotrail_companion.request_queue import WorkEstimate
from pomelotrail_companion.request_queue.const import DEFAULT_PRIORITY, DEFAULT_TARGET
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES
from pomelotrail_core.flows import SEQUENCE_RANGE

from .const import (
    CLOSED_LINGER,
    FIRST_REQUEST_TIMEOUT,
    MAX_FLOWS,
    OPENING_TIMEOUT,
    OVERDUE_AFTER,
    OVERDUE_WORK_FACTOR,
    REQUEST_TIMEOUT,
    RUNNING_TIMEOUT,
    RUNNING_WORK_FACTOR,
    UNANSWERED_LOAD_PENALTY,
    UNANSWERED_WINDOW,
)


class ServerFlow(msgspec.Struct, eq=False):
    """A flow of the backend server.

    ``opening_sequence`` is the sequence number of the opening packet, if known.
    ``initial_sequence`` is the backend server's initial sequence number, once it has
    accepted the flow; ``is_open`` is set once the caller has acknowledged it, and
    ``is_confirmed`` once the server has sent anything else. ``next_sequence`` is close
    to the next byte that the caller expects. ``idle_before`` is the time between the
    last two packets of the caller or the server. ``requested`` is set while a request
    is expected or in progress, and ``started`` once it was forwarded to the server;
    ``concurrency`` is the number of requests that it then ran. ``age`` is how long the
    caller had waited when the flow was offered, if the offer told it; the first
    response removes it, since later requests haven't waited, and so does a pause after
    the handshake, since the flow was opened before there was a request.
    """

    flow: bytes
    last_used: timedelta
    requested: timedelta | None
    balancer: Address
    opened: timedelta = timedelta()
    offer_number: int = 0
    age: timedelta | None = None
    started: timedelta | None = None
    concurrency: int = 0
    opening_sequence: int | None = None
    initial_sequence: int | None = None
    caller_end: int | None = None
    acknowledged: int | None = None
    next_sequence: int = 0
    idle_before: timedelta = timedelta()
    is_open: bool = False
    is_confirmed: bool = False
    is_closed: bool = False

    def waited(self, now: timedelta) -> timedelta:
        """Return how long the caller has waited for the first response, if known."""
        return self.age + now - self.opened if self.age is not None else timedelta()


class SweptFlows(msgspec.Struct, frozen=True):
    """Open flows that were removed, and flows whose request timed out."""

    expired: list[ServerFlow]
    unanswered: list[ServerFlow]


class RouteSettings(msgspec.Struct, frozen=True):
    """Operator settings for the requests to one service address.

    ``priority`` 0 is the highest; ``target`` is the target latency.
    """

    priority: int = DEFAULT_PRIORITY
    target: timedelta = DEFAULT_TARGET


_DEFAULT_ROUTE_SETTINGS = RouteSettings()


class ServerFlows:
    """All flows of the backend server beside this companion.

    A request is in progress from the caller's data until the first data that
    the backend server sends back; payloads are not inspected. An opening flow
    counts as a request, since its first request follows within a round trip;
    otherwise the caller has probably given up::

        entry = flows.open(flow, balancer, offer_number, now)
        flows.record_caller_data(entry, sequence, size, now)
        flows.occupancy
    """

    def __init__(self, estimate: WorkEstimate, max_flow_duration: timedelta) -> None:
        """Initialize without flows; ``estimate`` is the server's processing time."""
        self._estimate = estimate
        self._max_flow_duration = max_flow_duration
        self._flows: dict[bytes, ServerFlow] = {}
        self._flows_of_address: Counter[bytes] = Counter()
        self._openings: deque[ServerFlow] = deque()
        self._unused: dict[bytes, ServerFlow] = {}
        self._in_progress = 0
        self._running: dict[bytes, ServerFlow] = {}
        self._unanswered: deque[timedelta] = deque()
        self._route_settings: dict[bytes, RouteSettings] = {}
        self._evicted_until = timedelta()

    def __len__(self) -> int:
        """Return the number of flows, without openings that callers don't use."""
        return len(self._flows) - len(self._unused)

    @property
    def occupancy(self) -> int:
        """Return the number of requests in progress or expected."""
        return self._in_progress

    @property
    def running(self) -> int:
        """Return the number of requests at the backend server."""
        return len(self._running)

    def load(self, now: timedelta) -> int:
        """Return the occupancy plus the penalty for unanswered requests."""
        return self._in_progress + self.penalty(now)

    def penalty(self, now: timedelta) -> int:
        """Return the number of requests that unanswered ones count as.

        Handles this load pattern: a backend server fails to answer some requests while
        its health check succeeds. Every request that is overdue or was lost in the last
        seconds raises its load, so that other servers with free capacity get the new
        flows.
        """
        while self._unanswered and now - self._unanswered[0] >= UNANSWERED_WINDOW:
            self._unanswered.popleft()
        running = self._running.values()
        overdue_after = max(OVERDUE_AFTER, self._estimate.value * OVERDUE_WORK_FACTOR)
        overdue = sum(now - entry.started >= overdue_after for entry in running)
        return UNANSWERED_LOAD_PENALTY * (overdue + len(self._unanswered))

    def running_times(self, now: timedelta) -> tuple[timedelta, ...]:
        """Return for how long each request at the backend server has run."""
        return tuple(now - entry.started for entry in self._running.values())

    def unused_openings(self) -> list[ServerFlow]:
        """Return the accepted flows whose first request is still expected."""
        return [
            entry
            for entry in self._openings
            if entry.requested is not None and entry.caller_end is None
        ]

    def open_flows(self) -> list[ServerFlow]:
        """Return the open flows."""
        flows = self._flows.values()
        return [entry for entry in flows if entry.is_open and not entry.is_closed]

    def get(self, flow: bytes) -> ServerFlow | None:
        """Return a flow."""
        return self._flows.get(flow)

    def has_address_of(self, flow: bytes) -> bool:
        """Return whether there are flows to the service address of a flow."""
        return flow[PACKED_ENDPOINT_BYTES:] in self._flows_of_address

    def may_lack_open_flows(self, now: timedelta) -> bool:
        """Return whether a flow that was evicted may still be open."""
        return now < self._evicted_until

    def set_route_settings(self, flow: bytes, settings: RouteSettings) -> None:
        """Set the settings of a flow's service address, for all flows to it.

        Handles this load pattern: after a restart of this process, the flows that it
        learns again would otherwise wait behind all flows that were offered to it.
        """
        self._route_settings[flow[PACKED_ENDPOINT_BYTES:]] = settings

    def route_settings(self, flow: bytes) -> RouteSettings:
        """Return the settings of a flow's service address, as last offered."""
        return self._route_settings.get(
            flow[PACKED_ENDPOINT_BYTES:], _DEFAULT_ROUTE_SETTINGS
        )

    def open(
        self,
        flow: bytes,
        balancer: Address,
        offer: int,
        now: timedelta,
        age: timedelta | None = None,
    ) -> ServerFlow:
        """Add a flow whose opening packet goes to the backend server."""
        self.remove(flow)
        entry = ServerFlow(flow, now, now, balancer, now, offer, age)
        self._add(entry, now)
        self._in_progress += 1
        self._openings.append(entry)
        return entry

    def accept(self, flow: bytes, sequence: int, now: timedelta) -> ServerFlow:
        """Record the initial sequence number of a server that has accepted a flow.

        Handles this load pattern: a server is so slow that the opening was dropped
        before it accepts the flow. The caller may nevertheless use it.
        """
        entry = self._flows.get(flow)
        if entry is None:
            entry = ServerFlow(flow, now, None, ("", 0), now)
            self._add(entry, now)
            self._unused[flow] = entry
        entry.initial_sequence = sequence
        return entry

    def record_use(self, entry: ServerFlow) -> None:
        """Record that the caller has acknowledged the server's acceptance."""
        entry.is_open = True
        self._unused.pop(entry.flow, None)

    def drop_unused_openings(self, now: timedelta) -> None:
        """Stop counting flows whose first request is overdue.

        Handles this load pattern: after a power loss, opening packets arrive whose
        callers have given up. If they counted until they time out, an idle backend
        server would appear full.
        """
        openings = self._openings
        while openings and now - openings[0].opened >= FIRST_REQUEST_TIMEOUT:
            entry = openings.popleft()
            if entry.caller_end is None:
                entry.age = None
                self._end_request(entry)
                if not entry.is_open and self._flows.get(entry.flow) is entry:
                    self._unused[entry.flow] = entry

    def learn(self, flow: bytes, now: timedelta) -> ServerFlow:
        """Add an open flow that an earlier process of this companion accepted."""
        self.remove(flow)
        entry = ServerFlow(flow, now, None, ("", 0), is_open=True, is_confirmed=True)
        self._add(entry, now)
        return entry

    def remove(self, flow: bytes) -> None:
        """Remove a flow."""
        entry = self._flows.pop(flow, None)
        if entry is None:
            return
        self._unused.pop(flow, None)
        self._end_request(entry)
        address = flow[PACKED_ENDPOINT_BYTES:]
        self._flows_of_address[address] -= 1
        if not self._flows_of_address[address]:
            del self._flows_of_address[address]

    def record_caller_data(
        self, entry: ServerFlow, sequence: int, size: int, now: timedelta
    ) -> None:
        """Record data of the caller; data that is no retransmission is a request.

        Handles this load pattern: after a restart of this process, callers retransmit
        data that an earlier process delivered, and slow links deliver data after the
        flow has ended. Counted as requests, such data would occupy slots and queue
        positions without ever being answered.
        """
        if entry.is_closed:
            return
        end = (sequence + size) % SEQUENCE_RANGE
        if _is_up_to(entry.caller_end, end) or _is_up_to(entry.acknowledged, end):
            return
        entry.caller_end = end
        if entry.requested is None:
            self._in_progress += 1
        if entry.started is None:
            entry.requested = now

    def start_request(self, entry: ServerFlow, now: timedelta) -> None:
        """Record that the request of a flow goes to the backend server."""
        entry.started = now
        self._running[entry.flow] = entry
        entry.concurrency = len(self._running)

    def record_response(self, entry: ServerFlow, now: timedelta) -> timedelta | None:
        """Record data of the backend server and return its processing time."""
        started = entry.started
        entry.age = None
        self._end_request(entry)
        return now - started if started is not None else None

    def close(self, entry: ServerFlow) -> None:
        """Mark a flow as ended."""
        entry.is_closed = True
        self._end_request(entry)

    def record_unanswered(self, entry: ServerFlow, now: timedelta) -> None:
        """Record that the backend server will not answer the request of a flow."""
        if entry.started is not None:
            self._unanswered.append(now)
        self._end_request(entry)

    def sweep(self, now: timedelta) -> SweptFlows:
        """Remove expired flows, and stop counting requests that timed out."""
        swept = SweptFlows([], [])
        running_timeout = max(
            RUNNING_TIMEOUT, self._estimate.value * RUNNING_WORK_FACTOR
        )
        for flow, entry in list(self._flows.items()):
            if now - entry.last_used >= self._retention(entry):
                if entry.is_open and not entry.is_closed:
                    swept.expired.append(entry)
                self.remove(flow)
            elif entry.started is not None:
                if now - entry.started >= running_timeout:
                    self.record_unanswered(entry, now)
                    swept.unanswered.append(entry)
            elif (
                entry.requested is not None and now - entry.requested >= REQUEST_TIMEOUT
            ):
                self._end_request(entry)
        return swept

    def _retention(self, entry: ServerFlow) -> timedelta:
        """Return the time without a packet after which a flow is removed.

        An open flow is kept for the longest duration of flows. The idle time after
        which its server discards it is changed by operators while the flow is idle.
        A flow that the server has accepted may be open for its caller.
        """
        if entry.is_closed:
            return CLOSED_LINGER
        if not entry.is_open and entry.initial_sequence is None:
            return OPENING_TIMEOUT
        return self._max_flow_duration

    def _add(self, entry: ServerFlow, now: timedelta) -> None:
        """Add a flow and evict the oldest one if there are too many.

        Openings that callers don't use are evicted first.
        """
        if len(self._flows) >= MAX_FLOWS:
            oldest = next(iter((self._unused or self._flows).values()))
            if not oldest.is_closed:
                self._evicted_until = now + self._max_flow_duration
            self.remove(oldest.flow)
        self._flows[entry.flow] = entry
        self._flows_of_address[entry.flow[PACKED_ENDPOINT_BYTES:]] += 1

    def _end_request(self, entry: ServerFlow) -> None:
        """Mark the request of a flow as done."""
        if entry.requested is not None:
            entry.requested = None
            self._in_progress -= 1
        if entry.started is not None:
            entry.started = None
            self._running.pop(entry.flow, None)


def _is_up_to(known: int | None, end: int) -> bool:
    """Return whether a sequence number is at or past an end, with wraparound."""
    return known is not None and (known - end) % SEQUENCE_RANGE < SEQUENCE_RANGE // 2

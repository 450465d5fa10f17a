"""Limit on the concurrent requests of the backend server."""

from datetime import timedelta

from pomelotrail_companion.opening_wait import Backlog, OnTimeShare, QueuedWork
from pomelotrail_companion.request_queue import (
    EarliestDeadlineFirst,
    LearntConcurrency,
    OnTimeFirst,
    RequestQueue,
    RouteWork,
    WaitingRequest,
    WorkEstimate,
)
from pomelotrail_companion.request_queue.const import ROUND_TRIP_TIME
from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES
from pomelotrail_core.flows import Packet

from .const import MILLISECOND
from .server_flows import ServerFlow, ServerFlows


class RequestGate:
    """Queue requests while all slots of the backend server are in use.

    In the server's own queue, requests would run in order of arrival. Only the first
    data of a request is queued; data that the caller sends while its request runs is
    forwarded at once.
    """

    def __init__(
        self,
        flows: ServerFlows,
        estimate: WorkEstimate,
        learnt: LearntConcurrency | None,
        learns_speed: bool = False,
    ) -> None:
        """Limit the requests of the server whose flows are tracked.

        Without ``learnt``, all slots are used; without ``learns_speed``, processing
        times of routes aren't reported.
        """
        self._flows = flows
        self._estimate = estimate
        self._queue = RequestQueue(OnTimeFirst(), self._estimate)
        self._on_time_share = OnTimeShare()
        self._is_by_deadline = False
        self._route_work = RouteWork()
        self._learnt = learnt
        self._learns_speed = learns_speed
        self._limit: int | None = None
        self._slots: int | None = None

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._queue)

    @property
    def work_ms(self) -> float:
        """Return the observed processing time of a request; 0 if none was observed."""
        return self._estimate.observed_ms

    @property
    def limit(self) -> int | None:
        """Return the learnt number of concurrent requests; None if there is none."""
        return self._limit

    def route_work_ms(self, flow: bytes, now: timedelta) -> float | None:
        """Return the recent processing time on a flow's route, or None if unknown.

        With several slots, the number of requests in progress shows how fast a server
        is, and its processing times depend on that number.
        """
        if self._slots != 1 or not self._learns_speed:
            return None
        average = self._route_work.average(flow[PACKED_ENDPOINT_BYTES:], now)
        return average / MILLISECOND if average is not None else None

    def backlog(self, priority: int, now: timedelta) -> Backlog:
        """Return all work at the backend server, for a flow of a priority.

        Requests whose callers have closed the flow run after all others and are left
        out.
        """
        work, slots, share = self._estimate.value, self._slots or 1, self._on_time_share
        queued = [
            QueuedWork(request.priority, request.slack(now, work))
            for request in self._queue.waiting()
            if not request.is_abandoned
        ]
        for entry in self._flows.unused_openings():
            settings = self._flows.route_settings(entry.flow)
            slack = settings.target - entry.waited(now) - work - ROUND_TRIP_TIME
            queued.append(QueuedWork(settings.priority, slack))
        return Backlog(
            slots=slots,
            work=work,
            work_upper_bound=self._estimate.upper_bound,
            running=self._flows.running_times(now),
            queued=tuple(queued),
            unanswered=self._flows.penalty(now),
            on_time_share=share.of_all(work, slots, now),
            urgent_share=share.of_more_urgent(priority, work, slots, now),
        )

    def order_by_deadline(self) -> None:
        """Run requests by their deadline, where flows are admitted by wait."""
        if not self._is_by_deadline:
            self._is_by_deadline = True
            self._queue.order_by(EarliestDeadlineFirst())

    def set_slots(self, slots: int) -> None:
        """Set the number of slots from the backend server's directory entry.

        With several slots, flows aren't admitted by wait, and the newest requests go
        first again.
        """
        self._slots = max(1, slots)
        if self._slots > 1 and self._is_by_deadline:
            self._is_by_deadline = False
            self._queue.order_by(OnTimeFirst())

    def learn_concurrency(self, now: timedelta) -> list[str] | None:
        """Update the limit; return the reasons if it has changed."""
        if self._learnt is None or self._slots is None or self._slots == 1:
            return None
        previous, self._limit = self._limit, self._learnt.limit(self._slots, now)
        return self._learnt.describe() if self._limit != previous else None

    def admit(self, entry: ServerFlow, packet: Packet, now: timedelta) -> bool:
        """Return whether to forward a packet now; queue it otherwise."""
        waiting = self._queue.get(entry.flow)
        if packet.resets:
            self._queue.remove(entry.flow)
            return True
        if waiting is not None:
            if packet.size or packet.finishes:
                waiting.add(packet)
                return False
            return True
        if entry.requested is None or entry.started is not None or not packet.size:
            return True
        settings = self._flows.route_settings(entry.flow)
        if self._has_free_slot():
            self._flows.start_request(entry, now)
            if entry.waited(now) <= settings.target:
                self._on_time_share.record(settings.priority, now)
            return True
        request = WaitingRequest(
            entry.flow, now, settings.priority, settings.target, entry.waited(now)
        )
        request.add(packet)
        self._queue.add(request)
        return False

    def record_response(self, entry: ServerFlow, now: timedelta) -> timedelta | None:
        """Record the start of a response and return the processing time."""
        # The number of other requests changes while a request runs.
        running = (entry.concurrency + self._flows.running + 1) // 2
        duration = self._flows.record_response(entry, now)
        if duration is not None:
            self._estimate.record(duration)
            route = entry.flow[PACKED_ENDPOINT_BYTES:]
            self._route_work.record(route, duration, now)
            if self._learnt is not None and self._slots is not None:
                self._learnt.record(running, self._slots, duration, now)
        return duration

    def remove(self, flow: bytes) -> WaitingRequest | None:
        """Remove and return the waiting request of an ended flow, if any."""
        return self._queue.remove(flow)

    def release(self, now: timedelta) -> list[WaitingRequest]:
        """Remove and return the waiting requests that have a free slot."""
        released = []
        while self._has_free_slot() and (request := self._queue.pop_next(now)):
            entry = self._flows.get(request.flow)
            if entry is None or entry.requested is None:
                continue
            self._flows.start_request(entry, now)
            if request.slack(now, self._estimate.value) >= timedelta():
                self._on_time_share.record(request.priority, now)
            released.append(request)
        return released

    def _has_free_slot(self) -> bool:
        """Return whether the backend server can start a request at once."""
        if self._slots is None:
            return True
        limit = min(self._limit or self._slots, self._slots)
        return self._flows.running < limit

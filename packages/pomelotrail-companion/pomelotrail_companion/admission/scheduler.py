"""Starts requests in order within the limit and refuses those too late."""

import heapq
from datetime import timedelta
from typing import Final

from pomelotrail_core.clock import Clock

from .class_state import ClassState, ScheduledRequest
from .const import MAX_WAITING, MIN_RATE_SHARE, MIN_REMAINING_SHARE
from .limit import ColdEvidence, ConcurrencyLimit
from .messages import ClassFigures, Decision, Prediction, WorkResult
from .order import WorkOrder

_EVIDENCE_BY_RESULT: Final = {
    WorkResult.SHED: ColdEvidence.SHED,
    WorkResult.FAILED: ColdEvidence.FAILED,
}


class Scheduler:
    """Manages the slots of the backend server and the queue of requests."""

    def __init__(self, limit: ConcurrencyLimit, order: WorkOrder, clock: Clock) -> None:
        """Initialize the scheduler with a concurrency limit and a queue order."""
        self._limit = limit
        self._order = order
        self._clock = clock
        self._classes: dict[str, ClassState] = {}
        self._running: set[ScheduledRequest] = set()

    @property
    def running(self) -> int:
        """Return the number of busy slots."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Return the number of requests in the queue."""
        return sum(len(state.waiting) for state in self._classes.values())

    @property
    def limit(self) -> ConcurrencyLimit:
        """Return the limit in force."""
        return self._limit

    def class_figures(self) -> list[ClassFigures]:
        """Return the figures of each class."""
        now = self._clock.monotonic()
        return [
            ClassFigures(
                name=name,
                waiting=len(state.waiting),
                running=state.running,
                refused=state.refused,
                met_share=state.met_share(now),
                target_share=state.request_class.share,
            )
            for name, state in self._classes.items()
        ]

    def figures(self) -> dict[str, float]:
        """Return the figures for the status of the process."""
        figures = {
            "admission.limit": float(self._limit.limit),
            "admission.running": float(self.running),
            "admission.waiting": float(self.waiting),
        }
        for class_figures in self.class_figures():
            prefix = f"class.{class_figures.name}"
            figures[f"{prefix}.refused"] = float(class_figures.refused)
            figures[f"{prefix}.met_share"] = class_figures.met_share
            figures[f"{prefix}.target_share"] = class_figures.target_share
        return figures

    def offer(self, request: ScheduledRequest) -> None:
        """Start, queue or refuse a request that has just arrived."""
        state = self._state(request)
        state.waiting.append(request)
        self._start_next()
        if request not in state.waiting:
            return
        if self.waiting > MAX_WAITING or not self.predict(request).is_in_time:
            self.refuse(request)

    def refuse(self, request: ScheduledRequest) -> None:
        """Refuse a waiting request, which has not run."""
        state = self._classes[request.request_class.name]
        state.waiting.remove(request)
        state.refused += 1
        state.count_end(False, self._clock.monotonic())
        request.decide(Decision.REFUSE)

    def withdraw(self, request: ScheduledRequest) -> None:
        """Remove a waiting request that was cancelled."""
        self._classes[request.request_class.name].waiting.remove(request)

    def record_response_head(
        self, request: ScheduledRequest, result: WorkResult
    ) -> None:
        """Record the head of an answer; the slot remains in use."""
        assert request.permit is not None
        request.has_response_head = True
        evidence = _EVIDENCE_BY_RESULT.get(result)
        if evidence is not None:
            self.handle_evidence(evidence)
        if result is WorkResult.COMPLETED:
            began = request.ready_at or request.started
            self._limit.record_completion(
                request.permit, self._clock.monotonic() - began
            )

    def end(self, request: ScheduledRequest, result: WorkResult) -> None:
        """Free the slot of a request and start the next ones."""
        now = self._clock.monotonic()
        state = self._classes[request.request_class.name]
        state.slot_usage(now)
        state.running -= 1
        self._running.remove(request)
        if result is WorkResult.COMPLETED:
            state.update_service_time(now - request.started)
        if result is not WorkResult.CANCELLED:
            is_met = result in (WorkResult.COMPLETED, WorkResult.ERRED)
            state.count_end(is_met and now <= request.target_deadline, now)
        self._start_next()

    def handle_evidence(self, evidence: ColdEvidence) -> None:
        """Drop the limit to 1 and refuse the requests that are now too late."""
        self._limit.handle_evidence(evidence)
        self._refuse_too_late()

    def predict(self, request: ScheduledRequest) -> Prediction:
        """Predict the wait of a request in the queue.

        For a class whose service time alone exceeds its target, the deadline
        of the request applies instead of the target.
        """
        now = self._clock.monotonic()
        state = self._classes[request.request_class.name]
        wait = self._predict_wait(request, state, now)
        end = now + wait / self._rate_share(state, now) + state.service_time
        bound = min(request.target_deadline, request.deadline)
        if state.service_time >= request.request_class.within:
            bound = request.deadline
        return Prediction(wait, end <= bound)

    def _state(self, request: ScheduledRequest) -> ClassState:
        """Return the class state, updated to the configuration of the request."""
        now = self._clock.monotonic()
        kind = request.request_class
        state = self._classes.setdefault(kind.name, ClassState(kind, now))
        state.request_class = kind
        state.count_arrival(now)
        return state

    def _start_next(self) -> None:
        """Start waiting requests while the limit allows."""
        now = self._clock.monotonic()
        self._detect_overdue(now)
        while len(self._running) < self._limit.limit:
            states = self._classes.values()
            state = self._order.choose(states, self._limit.limit, now)
            if state is None:
                return
            self._start(state, now)

    def _start(self, state: ClassState, now: timedelta) -> None:
        """Start the next request of a class."""
        request = state.pop_next_request(now)
        state.slot_usage(now)
        state.running += 1
        request.started = now
        request.permit = self._limit.issue_permit(state.request_class.name)
        self._running.add(request)
        request.decide(Decision.START)

    def _detect_overdue(self, now: timedelta) -> None:
        """Treat a running request without an answer for too long as evidence."""
        for request in self._running:
            if request.has_response_head or request.ready_at is None:
                continue
            assert request.permit is not None
            if self._limit.is_overdue(request.permit, now - request.ready_at):
                self.handle_evidence(ColdEvidence.SLOW)
                return

    def _predict_wait(
        self, request: ScheduledRequest, state: ClassState, now: timedelta
    ) -> timedelta:
        """Predict when a slot is free after all work that precedes a request."""
        free_at = self._slots_free_at(now)
        for service_time in self._work_ahead(request, state, now):
            heapq.heapreplace(free_at, free_at[0] + service_time)
        return free_at[0]

    def _slots_free_at(self, now: timedelta) -> list[timedelta]:
        """Return the time until each slot of the limit is free, as a heap."""
        remaining = sorted(self._remaining(request, now) for request in self._running)
        limit = self._limit.limit
        idle = [timedelta()] * max(0, limit - len(remaining))
        return [*idle, *remaining][-limit:]

    def _remaining(self, request: ScheduledRequest, now: timedelta) -> timedelta:
        """Return the estimated remaining time of a running request."""
        service_time = self._classes[request.request_class.name].service_time
        remaining = service_time - (now - request.started)
        return max(remaining, service_time * MIN_REMAINING_SHARE)

    def _work_ahead(
        self, request: ScheduledRequest, state: ClassState, now: timedelta
    ) -> list[timedelta]:
        """Return the service times of the waiting work that precedes a request."""
        states = self._classes.values()
        own = self._order.precedence(state, states, now)
        ahead = [state.service_time] * state.waiting.index(request)
        for other in states:
            if other is state or not other.waiting:
                continue
            if self._order.precedence(other, states, now) < own:
                ahead += [other.service_time] * len(other.waiting)
        return ahead

    def _rate_share(self, state: ClassState, now: timedelta) -> float:
        """Return the guaranteed share of the limit for a class."""
        uses = {name: each.slot_usage(now) for name, each in self._classes.items()}
        total = sum(uses.values())
        own = uses[state.request_class.name]
        if total <= 0 or own * len(uses) <= total:
            return 1.0
        return max(MIN_RATE_SHARE, own / total)

    def _refuse_too_late(self) -> None:
        """Refuse requests at the end of each queue that can no longer be in time."""
        for state in self._classes.values():
            while state.waiting and not self.predict(state.waiting[-1]).is_in_time:
                self.refuse(state.waiting[-1])

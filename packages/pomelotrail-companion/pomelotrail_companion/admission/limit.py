"""Limits of the number of concurrent requests to the backend server."""

import abc
import enum
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.timeline import EventKind, Recorder

from .baseline import LatencyBaseline
from .const import (
    GROWTH_COMPLETIONS,
    IDLE_TIMEOUT,
    NEW_BASELINE_COMPLETIONS,
    WEAK_GROWTH_COMPLETIONS,
)


class ColdEvidence(enum.Enum):
    """Evidence of a cold backend server; a single item is sufficient."""

    STARTED = "the companion has just started"
    REPORTED = "the backend server reports that it is cold"
    SHED = "the backend server shed a request"
    FAILED = "the backend server failed a request"
    SLOW = "an answer was slow for its class"
    IDLE = "the backend server has done nothing for long"
    RETURNED = "the backend server is back in service"


_WEAK_EVIDENCE = frozenset({ColdEvidence.SLOW, ColdEvidence.IDLE})


@attrs.frozen
class Permit:
    """The permission to run one request, with the epoch of the limit."""

    class_name: str
    epoch: int


@attrs.frozen
class SlowAnswer:
    """The slow answer that reduced the limit."""

    class_name: str
    latency: timedelta


class ConcurrencyLimit(abc.ABC):
    """A concurrency limit between 1 and the slots of the backend server."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Return how many requests may run at once now."""

    @property
    @abc.abstractmethod
    def slots(self) -> int:
        """Return the limit of a warm backend server."""

    @abc.abstractmethod
    def issue_permit(self, class_name: str) -> Permit:
        """Return the permit of a request that starts now."""

    @abc.abstractmethod
    def record_completion(self, permit: Permit, latency: timedelta) -> None:
        """Record the latency of a completed request."""

    @abc.abstractmethod
    def is_overdue(self, permit: Permit, elapsed: timedelta) -> bool:
        """Return whether a running request has already taken too long."""

    @abc.abstractmethod
    def handle_evidence(self, evidence: ColdEvidence) -> None:
        """Handle evidence that the backend server is cold."""


class FixedLimit(ConcurrencyLimit):
    """A limit that always equals the slots; the baseline for comparisons."""

    def __init__(self, slots: int) -> None:
        """Initialize the limit with a fixed number of slots."""
        self._slots = slots

    @property
    def limit(self) -> int:
        """Return the slots."""
        return self._slots

    @property
    def slots(self) -> int:
        """Return the slots."""
        return self._slots

    def issue_permit(self, class_name: str) -> Permit:
        """Return a permit; its epoch is always 0."""
        return Permit(class_name, 0)

    def record_completion(self, permit: Permit, latency: timedelta) -> None:
        """Ignore the latency."""

    def is_overdue(self, permit: Permit, elapsed: timedelta) -> bool:
        """Return False, as no request is overdue."""
        return False

    def handle_evidence(self, evidence: ColdEvidence) -> None:
        """Ignore the evidence."""


class AdaptiveLimit(ConcurrencyLimit):
    """Drops to 1 on any evidence of a cold server; grows by completed work only.

    After strong evidence, each further slot needs ``GROWTH_COMPLETIONS`` answers
    at typical latency. After weak evidence it needs fewer, and twice as many each
    time that weak evidence recurs before the limit has recovered.
    A run of ``NEW_BASELINE_COMPLETIONS`` untypical answers means that the backend
    server is permanently slower, and becomes the new baseline.
    Requests that started before the latest evidence are not counted, so each
    permit carries the epoch in which it was issued.
    """

    def __init__(self, slots: int, clock: Clock, recorder: Recorder) -> None:
        """Initialize the limit of a cold backend server with ``slots`` slots."""
        self._slots = slots
        self._clock = clock
        self._recorder = recorder
        self._limit = 1
        self._epoch = 0
        self._completions = 0
        self._needed_completions = GROWTH_COMPLETIONS
        self._weak_needed_completions = WEAK_GROWTH_COMPLETIONS
        self._baselines: dict[str, LatencyBaseline] = {}
        self._untypical_latencies: dict[str, list[timedelta]] = {}
        self._slow_answer: SlowAnswer | None = None
        self._last_active_at = clock.monotonic()
        recorder.record(
            EventKind.BACKEND_SERVER_COLD,
            detail=f"limit 1, {ColdEvidence.STARTED.value}",
        )

    @property
    def limit(self) -> int:
        """Return how many requests may run at once now."""
        if self._limit > 1 and self._idle_time > IDLE_TIMEOUT:
            self.handle_evidence(ColdEvidence.IDLE)
        return self._limit

    @property
    def slots(self) -> int:
        """Return the limit of a warm backend server."""
        return self._slots

    @property
    def _idle_time(self) -> timedelta:
        """Return the time since a request was last started or completed."""
        return self._clock.monotonic() - self._last_active_at

    def issue_permit(self, class_name: str) -> Permit:
        """Return the permit of a request that starts now."""
        self._last_active_at = self._clock.monotonic()
        return Permit(class_name, self._epoch)

    def record_completion(self, permit: Permit, latency: timedelta) -> None:
        """Count a normal latency towards growth, or drop the limit on a slow one."""
        self._last_active_at = self._clock.monotonic()
        if permit.epoch != self._epoch:
            return
        baseline = self._baselines.setdefault(permit.class_name, LatencyBaseline())
        if self._limit > 1 and baseline.is_slow(latency):
            self.handle_evidence(ColdEvidence.SLOW)
            self._slow_answer = SlowAnswer(permit.class_name, latency)
            return
        if baseline.is_known and not baseline.is_typical(latency):
            self._record_untypical(permit.class_name, baseline, latency)
            return
        proves_warmth = (
            baseline.is_known or self._needed_completions == GROWTH_COMPLETIONS
        )
        self._untypical_latencies.pop(permit.class_name, None)
        self._accept_false_positive(permit.class_name, baseline)
        baseline.add(latency)
        if proves_warmth:
            self._count_completion()

    def is_overdue(self, permit: Permit, elapsed: timedelta) -> bool:
        """Return whether a request of this epoch is slow and still unanswered."""
        baseline = self._baselines.get(permit.class_name)
        if permit.epoch != self._epoch or baseline is None:
            return False
        return self._limit > 1 and baseline.is_slow(elapsed)

    def handle_evidence(self, evidence: ColdEvidence) -> None:
        """Drop the limit to 1 and reset the counted completions."""
        if evidence in _WEAK_EVIDENCE:
            self._needed_completions = max(
                self._needed_completions, self._weak_needed_completions
            )
            self._weak_needed_completions = min(
                GROWTH_COMPLETIONS, self._weak_needed_completions * 2
            )
        else:
            self._needed_completions = GROWTH_COMPLETIONS
        self._epoch += 1
        self._completions = 0
        self._untypical_latencies.clear()
        if self._limit > 1:
            self._recorder.record(
                EventKind.BACKEND_SERVER_COLD, detail=f"limit 1, {evidence.value}"
            )
        self._limit = 1
        self._slow_answer = None

    def _accept_false_positive(
        self, class_name: str, baseline: LatencyBaseline
    ) -> None:
        """Add the slow answer to the baseline if the next answer was normal."""
        if self._slow_answer is None or self._slow_answer.class_name != class_name:
            return
        baseline.add(self._slow_answer.latency)
        self._slow_answer = None

    def _record_untypical(
        self, class_name: str, baseline: LatencyBaseline, latency: timedelta
    ) -> None:
        """Widen the baseline at the full limit, or replace it after a long run."""
        if self._limit == self._slots:
            baseline.add(latency)
            return
        run = self._untypical_latencies.setdefault(class_name, [])
        run.append(latency)
        if len(run) < NEW_BASELINE_COMPLETIONS:
            return
        baseline.replace(run)
        self._untypical_latencies.pop(class_name)
        self._completions = 0
        self._needed_completions = GROWTH_COMPLETIONS

    def _count_completion(self) -> None:
        """Count a completion and add a slot after enough of them."""
        if self._limit >= self._slots:
            return
        self._completions += 1
        if self._completions < self._needed_completions:
            return
        self._completions = 0
        self._limit += 1
        cold = self._recorder.latest(EventKind.BACKEND_SERVER_COLD)
        detail = f"limit {self._limit}"
        self._recorder.record(EventKind.LIMIT_CHANGED, cause=cold, detail=detail)
        if self._limit == self._slots:
            self._needed_completions = 1
            self._weak_needed_completions = WEAK_GROWTH_COMPLETIONS
            self._recorder.record(EventKind.BACKEND_SERVER_WARM, detail=detail)

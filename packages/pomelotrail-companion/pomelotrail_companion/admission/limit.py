"""How many requests the backend server may work on at once."""

import abc
import enum
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.timeline import EventKind, Recorder

from .baseline import LatencyBaseline
from .const import (
    GROWTH_COMPLETIONS,
    IDLE_TRUST,
    NEW_BASELINE_COMPLETIONS,
    WEAK_GROWTH_COMPLETIONS,
)


class ColdEvidence(enum.Enum):
    """What speaks for a cold backend server; one piece suffices."""

    STARTED = "the companion has just started"
    REPORTED = "the backend server reports that it is cold"
    SHED = "the backend server shed a request"
    FAILED = "the backend server failed a request"
    SLOW = "an answer was slow for its class"
    IDLE = "the backend server has done nothing for long"
    RETURNED = "the backend server is back in service"


_WEAK = frozenset({ColdEvidence.SLOW, ColdEvidence.IDLE})


@attrs.frozen
class Permit:
    """The permission to work on one request, dated by the limit's era."""

    class_name: str
    era: int


@attrs.frozen
class SlowAnswer:
    """The slow answer that made the limit fall."""

    class_name: str
    latency: timedelta


class ConcurrencyLimit(abc.ABC):
    """Between 1 and the slots of the backend server."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Return how many requests may run at once now."""

    @property
    @abc.abstractmethod
    def slots(self) -> int:
        """Return the limit of a warm backend server."""

    @abc.abstractmethod
    def permit(self, class_name: str) -> Permit:
        """Return the permit of a request that starts now."""

    @abc.abstractmethod
    def complete(self, permit: Permit, latency: timedelta) -> None:
        """Learn from the latency of a request that was completed."""

    @abc.abstractmethod
    def is_overdue(self, permit: Permit, elapsed: timedelta) -> bool:
        """Tell whether a running request has taken too long already."""

    @abc.abstractmethod
    def take_evidence(self, evidence: ColdEvidence) -> None:
        """Act on evidence that the backend server is cold."""


class FixedLimit(ConcurrencyLimit):
    """The slots, whatever happens; the baseline to compare with."""

    def __init__(self, slots: int) -> None:
        """Stay at ``slots``."""
        self._slots = slots

    @property
    def limit(self) -> int:
        """Return the slots."""
        return self._slots

    @property
    def slots(self) -> int:
        """Return the slots."""
        return self._slots

    def permit(self, class_name: str) -> Permit:
        """Return a permit without an era."""
        return Permit(class_name, 0)

    def complete(self, permit: Permit, latency: timedelta) -> None:
        """Learn nothing."""

    def is_overdue(self, permit: Permit, elapsed: timedelta) -> bool:
        """Find nothing overdue."""
        return False

    def take_evidence(self, evidence: ColdEvidence) -> None:
        """Ignore evidence."""


class AdaptiveLimit(ConcurrencyLimit):
    """Falls to 1 on any evidence for cold and grows by completed work only.

    After strong evidence each further slot needs ``GROWTH_COMPLETIONS``
    answers at typical latency. After weak evidence it needs few, and twice as
    many each time the weak evidence comes back before the limit has recovered.
    A backend server that has become slower for good is believed after a run of
    ``NEW_BASELINE_COMPLETIONS`` untypical answers.
    Requests that started before the latest evidence prove nothing, so each
    permit carries the era in which it was given.
    """

    def __init__(self, slots: int, clock: Clock, recorder: Recorder) -> None:
        """Start cold beside a backend server with that many slots."""
        self._slots = slots
        self._clock = clock
        self._recorder = recorder
        self._limit = 1
        self._era = 0
        self._completions = 0
        self._needed = GROWTH_COMPLETIONS
        self._weak_needed = WEAK_GROWTH_COMPLETIONS
        self._baselines: dict[str, LatencyBaseline] = {}
        self._untypical: dict[str, list[timedelta]] = {}
        self._alarm: SlowAnswer | None = None
        self._active_at = clock.monotonic()
        recorder.record(
            EventKind.BACKEND_SERVER_COLD,
            detail=f"limit 1, {ColdEvidence.STARTED.value}",
        )

    @property
    def limit(self) -> int:
        """Return how many requests may run at once now."""
        if self._limit > 1 and self._idle_time > IDLE_TRUST:
            self.take_evidence(ColdEvidence.IDLE)
        return self._limit

    @property
    def slots(self) -> int:
        """Return the limit of a warm backend server."""
        return self._slots

    @property
    def _idle_time(self) -> timedelta:
        """Return how long ago a request was started or completed."""
        return self._clock.monotonic() - self._active_at

    def permit(self, class_name: str) -> Permit:
        """Return the permit of a request that starts now."""
        self._active_at = self._clock.monotonic()
        return Permit(class_name, self._era)

    def complete(self, permit: Permit, latency: timedelta) -> None:
        """Grow by a normal latency, or fall by a slow one."""
        self._active_at = self._clock.monotonic()
        if permit.era != self._era:
            return
        baseline = self._baselines.setdefault(permit.class_name, LatencyBaseline())
        if self._limit > 1 and baseline.is_slow(latency):
            self.take_evidence(ColdEvidence.SLOW)
            self._alarm = SlowAnswer(permit.class_name, latency)
            return
        if baseline.is_known and not baseline.is_typical(latency):
            self._take_untypical(permit.class_name, baseline, latency)
            return
        proves_warmth = baseline.is_known or self._needed == GROWTH_COMPLETIONS
        self._untypical.pop(permit.class_name, None)
        self._accept_false_alarm(permit.class_name, baseline)
        baseline.add(latency)
        if proves_warmth:
            self._credit()

    def is_overdue(self, permit: Permit, elapsed: timedelta) -> bool:
        """Tell whether a request of this era is slow without an answer yet."""
        baseline = self._baselines.get(permit.class_name)
        if permit.era != self._era or baseline is None:
            return False
        return self._limit > 1 and baseline.is_slow(elapsed)

    def take_evidence(self, evidence: ColdEvidence) -> None:
        """Fall to 1 and forget what was completed so far."""
        if evidence in _WEAK:
            self._needed = max(self._needed, self._weak_needed)
            self._weak_needed = min(GROWTH_COMPLETIONS, self._weak_needed * 2)
        else:
            self._needed = GROWTH_COMPLETIONS
        self._era += 1
        self._completions = 0
        self._untypical.clear()
        if self._limit > 1:
            self._recorder.record(
                EventKind.BACKEND_SERVER_COLD, detail=f"limit 1, {evidence.value}"
            )
        self._limit = 1
        self._alarm = None

    def _accept_false_alarm(self, class_name: str, baseline: LatencyBaseline) -> None:
        """Count a slow answer as normal for its class when the next was normal."""
        if self._alarm is None or self._alarm.class_name != class_name:
            return
        baseline.add(self._alarm.latency)
        self._alarm = None

    def _take_untypical(
        self, class_name: str, baseline: LatencyBaseline, latency: timedelta
    ) -> None:
        """Learn how far latencies spread, or a new normal from a long run."""
        if self._limit == self._slots:
            baseline.add(latency)
            return
        run = self._untypical.setdefault(class_name, [])
        run.append(latency)
        if len(run) < NEW_BASELINE_COMPLETIONS:
            return
        baseline.replace(run)
        self._untypical.pop(class_name)
        self._completions = 0
        self._needed = GROWTH_COMPLETIONS

    def _credit(self) -> None:
        """Count completed work, and add a slot when there was enough."""
        if self._limit >= self._slots:
            return
        self._completions += 1
        if self._completions < self._needed:
            return
        self._completions = 0
        self._limit += 1
        cold = self._recorder.latest(EventKind.BACKEND_SERVER_COLD)
        detail = f"limit {self._limit}"
        self._recorder.record(EventKind.LIMIT_CHANGED, cause=cold, detail=detail)
        if self._limit == self._slots:
            self._needed = 1
            self._weak_needed = WEAK_GROWTH_COMPLETIONS
            self._recorder.record(EventKind.BACKEND_SERVER_WARM, detail=detail)

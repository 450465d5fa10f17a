"""Counts requests by class of work, and those that met their target."""

from collections import Counter
from collections.abc import Iterable
from datetime import timedelta
from typing import Final

import attrs
from opentelemetry.metrics import Meter

from pomelotrail_core.configuration import RequestClass
from pomelotrail_core.metrics import (
    Label,
    Metric,
    Reading,
    observe_counter,
    observe_gauge,
)

from .refusals import Refusal

UNKNOWN_CLASS: Final = "unknown"

_REQUESTS: Final = Metric(
    "requests", "{request}", "Requests that have ended, by class and result"
)
_WITHIN_TARGET: Final = Metric(
    "requests_within_target",
    "{request}",
    "Requests whose whole answer was sent within the time of their target",
)
_REFUSALS: Final = Metric(
    "refusals", "{request}", "Refused requests, by reason and what is known of the run"
)
_RUNNING: Final = Metric(
    "requests_running", "{request}", "Requests without a whole answer yet"
)
_TARGET_SECONDS: Final = Metric("target", "s", "Time that the target of a class allows")
_TARGET_SHARE: Final = Metric(
    "target_share", "1", "Share of a class that should be within the time"
)


@attrs.frozen
class _RefusalKey:
    """Labels by which refusals are counted."""

    reason: str
    outcome: str


@attrs.frozen
class _EndKey:
    """Labels by which ended requests are counted."""

    class_name: str
    result: str


class RequestAccounting:
    """Metrics of the requests at one companion.

    A request that its caller gave up counts neither for nor against the target.
    """

    def __init__(self, meter: Meter) -> None:
        """Initialize and register the metrics with a meter."""
        self._classes: dict[str, RequestClass] = {}
        self._running = 0
        self._ended: Counter[_EndKey] = Counter()
        self._within: Counter[str] = Counter()
        self._refused: Counter[_RefusalKey] = Counter()
        self._duration = meter.create_histogram(
            "request_duration", "s", "Time from a request's head to its whole answer"
        )
        observe_counter(meter, _REQUESTS, self._read_ended)
        observe_counter(meter, _WITHIN_TARGET, self._read_within)
        observe_counter(meter, _REFUSALS, self._read_refused)
        observe_gauge(meter, _RUNNING, lambda: [Reading(self._running)])
        observe_gauge(meter, _TARGET_SECONDS, self._read_target_seconds)
        observe_gauge(meter, _TARGET_SHARE, self._read_target_share)

    @property
    def running(self) -> int:
        """Return the number of requests without a complete answer yet."""
        return self._running

    @property
    def figures(self) -> dict[str, float]:
        """Return the figures for the status of the process."""
        refused = sum(self._refused.values())
        return {
            "running": float(self._running),
            "ended": float(sum(self._ended.values())),
            "within_target": float(sum(self._within.values())),
            "refused": float(refused),
        }

    def begin(self) -> None:
        """Count a request that has started."""
        self._running += 1

    def record_refusal(self, refusal: Refusal) -> None:
        """Count a refusal."""
        key = _RefusalKey(refusal.kind.slug, refusal.outcome.value)
        self._refused[key] += 1

    def end(
        self, request_class: RequestClass | None, result: str, duration: timedelta
    ) -> None:
        """Count the end of a request; ``answered`` may meet the target."""
        self._running -= 1
        name = request_class.name if request_class else UNKNOWN_CLASS
        self._ended[_EndKey(name, result)] += 1
        if request_class is None:
            return
        self._classes[name] = request_class
        seconds = duration.total_seconds()
        self._duration.record(seconds, {"class": name, "result": result})
        if result == "answered" and duration <= request_class.within:
            self._within[name] += 1

    def _read_ended(self) -> Iterable[Reading]:
        """Yield the ended requests."""
        for key, count in self._ended.items():
            labels = (Label("class", key.class_name), Label("result", key.result))
            yield Reading(count, labels)

    def _read_within(self) -> Iterable[Reading]:
        """Yield the requests that met their target."""
        for name in self._classes:
            yield Reading(self._within[name], (Label("class", name),))

    def _read_refused(self) -> Iterable[Reading]:
        """Yield the refusals."""
        for key, count in self._refused.items():
            labels = (Label("reason", key.reason), Label("outcome", key.outcome))
            yield Reading(count, labels)

    def _read_target_seconds(self) -> Iterable[Reading]:
        """Yield the times of the targets."""
        for name, request_class in self._classes.items():
            yield Reading(request_class.within.total_seconds(), (Label("class", name),))

    def _read_target_share(self) -> Iterable[Reading]:
        """Yield the shares of the targets."""
        for name, request_class in self._classes.items():
            yield Reading(request_class.share, (Label("class", name),))

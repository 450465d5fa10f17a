"""Metrics of the slots and the queue of a backend server."""

from collections.abc import Callable, Iterable
from typing import Final

from opentelemetry.metrics import Meter

from pomelotrail_core.metrics import Label, Metric, Reading, observe_gauge

from .messages import ClassFigures
from .scheduler import Scheduler

_BUSY: Final = Metric(
    "busy_slots", "{slot}", "Requests that the backend server works on"
)
_LIMIT: Final = Metric("slot_limit", "{slot}", "Slots that may be busy at once now")
_SLOTS: Final = Metric("slots", "{slot}", "Slots of the warm backend server")
_WAITING: Final = Metric("requests_waiting", "{request}", "Requests waiting for a slot")
_MET_SHARE: Final = Metric(
    "target_met_share", "1", "Recent share of a class answered in time, as scheduled by"
)


def observe_admission(meter: Meter, scheduler: Scheduler) -> None:
    """Register the gauges of the slots and the queue of one companion."""
    observe_gauge(meter, _BUSY, lambda: [Reading(scheduler.running)])
    observe_gauge(meter, _LIMIT, lambda: [Reading(scheduler.limit.limit)])
    observe_gauge(meter, _SLOTS, lambda: [Reading(scheduler.limit.slots)])
    observe_gauge(meter, _WAITING, _by_class(scheduler, lambda each: each.waiting))
    observe_gauge(meter, _MET_SHARE, _by_class(scheduler, lambda each: each.met_share))


def _by_class(
    scheduler: Scheduler, value: Callable[[ClassFigures], float]
) -> Callable[[], Iterable[Reading]]:
    """Return a function that reads one figure of every class."""
    return lambda: [
        Reading(value(each), (Label("class", each.name),))
        for each in scheduler.class_figures()
    ]

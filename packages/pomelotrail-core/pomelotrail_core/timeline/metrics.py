"""Metrics for the counters of the recorder and the version in force."""

from collections.abc import Callable
from typing import Final

from opentelemetry.metrics import Meter

from pomelotrail_core.metrics import (
    Metric,
    Reading,
    observe_counter,
    observe_gauge,
    readings_by,
)

from .recorder import Recorder

_EVENTS: Final = Metric("events", "{event}", "Events on the time line, by kind")
_LOST_EVENTS: Final = Metric(
    "events_lost", "{event}", "Events that have given way to later ones"
)
_VERSION: Final = Metric(
    "configuration_version", "1", "Version of the configuration in force"
)


def observe_process(
    meter: Meter, recorder: Recorder, version: Callable[[], int]
) -> None:
    """Register the metrics common to all processes."""
    observe_counter(meter, _EVENTS, lambda: readings_by("kind", recorder.counts))
    observe_counter(meter, _LOST_EVENTS, lambda: [Reading(recorder.lost)])
    observe_gauge(meter, _VERSION, lambda: [Reading(version())])

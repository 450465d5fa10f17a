"""Counters and gauges that are read when metrics are collected.

Adding to an OpenTelemetry counter costs more than forwarding a packet. A hot
path counts in plain integers, and a callback reads them::

    class Socket:
        def __init__(self, meter: Meter) -> None:
            self._forwarded = 0
            self._dropped = dict.fromkeys(DropReason, 0)
            observe_counter(
                meter,
                Metric("forwarded_packets", "{packet}", "Packets forwarded"),
                lambda: [Reading(self._forwarded)],
            )
            observe_counter(
                meter,
                Metric("dropped_packets", "{packet}", "Packets dropped"),
                lambda: readings_by("reason", self._dropped),
            )
"""

import enum
from collections.abc import Callable, Iterable, Mapping

import attrs
from opentelemetry.metrics import CallbackOptions, Meter, Observation


@attrs.frozen
class Metric:
    """Name, unit (in the notation of UCUM) and description of a metric."""

    name: str
    unit: str
    description: str


@attrs.frozen
class Label:
    """One label of a reading."""

    name: str
    value: str


@attrs.frozen
class Reading:
    """The value that a metric has for one set of labels."""

    value: float
    labels: tuple[Label, ...] = ()


ReadCallback = Callable[[], Iterable[Reading]]


def observe_counter(meter: Meter, metric: Metric, read: ReadCallback) -> None:
    """Register a counter, which never decreases, that is read with ``read``."""
    meter.create_observable_counter(
        metric.name, [_callback(read)], metric.unit, metric.description
    )


def observe_gauge(meter: Meter, metric: Metric, read: ReadCallback) -> None:
    """Register a gauge that is read with ``read``."""
    meter.create_observable_gauge(
        metric.name, [_callback(read)], metric.unit, metric.description
    )


def readings_by(
    label: str, values: Mapping[str, float] | Mapping[enum.Enum, float]
) -> list[Reading]:
    """Return one reading per key; enumeration members are labelled by value."""
    return [
        Reading(value, (Label(label, _text(key)),)) for key, value in values.items()
    ]


def _text(key: str | enum.Enum) -> str:
    """Return the value of a label as text."""
    return str(key.value) if isinstance(key, enum.Enum) else key


def _callback(read: ReadCallback) -> Callable[[CallbackOptions], Iterable[Observation]]:
    """Return a callback for OpenTelemetry that calls ``read``."""

    def observe(options: CallbackOptions) -> Iterable[Observation]:
        """Return the readings as observations."""
        return [_observation(reading) for reading in read()]

    return observe


def _observation(reading: Reading) -> Observation:
    """Return the observation for a reading."""
    labels = {label.name: label.value for label in reading.labels}
    return Observation(reading.value, labels)

"""OpenTelemetry metrics with a Prometheus endpoint."""

from .observed import (
    Label,
    Metric,
    Reading,
    observe_counter,
    observe_gauge,
    readings_by,
)
from .provider import Metrics

__all__ = [
    "Label",
    "Metric",
    "Metrics",
    "Reading",
    "observe_counter",
    "observe_gauge",
    "readings_by",
]

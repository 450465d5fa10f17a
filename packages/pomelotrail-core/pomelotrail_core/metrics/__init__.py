"""OpenTelemetry metrics with a Prometheus endpoint."""

from .provider import Metrics

__all__ = ["Metrics"]

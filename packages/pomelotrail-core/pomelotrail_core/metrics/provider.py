"""Collects the metrics of this process and serves them to Prometheus."""

from typing import Final

from aiohttp import web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    ProcessCollector,
    generate_latest,
)

from pomelotrail_core.endpoint import Endpoint

METRIC_PREFIX: Final = "pomelotrail"


class Metrics:
    """The meters of one process."""

    def __init__(self, process: str, zone: str) -> None:
        """Label every metric with the process and its availability zone."""
        resource = Resource.create({"service.name": process, "zone": zone})
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        reader = PrometheusMetricReader(
            prefix=METRIC_PREFIX,
            scope_info_enabled=False,
            resource_attribute_filter=lambda name: name in ("service.name", "zone"),
            registry=self._registry,
        )
        self._provider = MeterProvider(
            resource=resource, metric_readers=[reader], shutdown_on_exit=False
        )
        self._runner: web.AppRunner | None = None

    def meter(self, part: str) -> Meter:
        """Return the meter of one part."""
        return self._provider.get_meter(f"{METRIC_PREFIX}.{part}")

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry).decode()

    async def async_start(self, endpoint: Endpoint) -> None:
        """Serve the metrics under ``/metrics`` at the endpoint."""
        application = web.Application()
        application.router.add_get("/metrics", self._async_serve)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, endpoint.host, endpoint.port).start()

    async def async_stop(self) -> None:
        """Stop serving and flush the meters."""
        if self._runner is not None:
            await self._runner.cleanup()
        self.shut_down()

    def shut_down(self) -> None:
        """Flush the meters of a process that serves no metrics."""
        self._provider.shutdown()

    async def _async_serve(self, request: web.Request) -> web.Response:
        """Answer one scrape."""
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=self.render().encode(), headers=headers)

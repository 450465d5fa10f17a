"""Collects the metrics of this process and serves them to Prometheus."""

import asyncio
import contextlib

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

from pomelotrail_core.clock import Clock, SystemClock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import get_logger

from .const import METRIC_PREFIX, SERVE_RETRY_INTERVAL

_LOGGER = get_logger("metrics")


class Metrics:
    """The meters of one process."""

    def __init__(self, process: str, zone: str, clock: Clock | None = None) -> None:
        """Label every metric with the process and its availability zone."""
        self._clock = clock or SystemClock()
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
        self._serving: asyncio.Task[None] | None = None

    def meter(self, part: str) -> Meter:
        """Return the meter of one part."""
        return self._provider.get_meter(f"{METRIC_PREFIX}.{part}")

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry).decode()

    async def async_start(self, endpoint: Endpoint) -> None:
        """Serve the metrics under ``/metrics`` at the endpoint.

        The process does its work without them: an address that can't be used is
        logged and tried again until it can.
        """
        application = web.Application()
        application.router.add_get("/metrics", self._async_serve)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        if not await self._async_try_to_listen(endpoint):
            self._serving = asyncio.create_task(self._async_keep_trying(endpoint))

    async def async_stop(self) -> None:
        """Stop serving and flush the meters."""
        if self._serving is not None:
            self._serving.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._serving
        if self._runner is not None:
            await self._runner.cleanup()
        self.shut_down()

    def shut_down(self) -> None:
        """Flush the meters of a process that serves no metrics."""
        self._provider.shutdown()

    async def _async_keep_trying(self, endpoint: Endpoint) -> None:
        """Try to listen at each interval until it succeeds."""
        while True:
            await self._clock.async_sleep(SERVE_RETRY_INTERVAL)
            if await self._async_try_to_listen(endpoint):
                _LOGGER.info("Serving at %s now", endpoint)
                return

    async def _async_try_to_listen(self, endpoint: Endpoint) -> bool:
        """Listen at the endpoint; return whether that succeeded."""
        assert self._runner is not None
        site = web.TCPSite(self._runner, endpoint.host, endpoint.port)
        try:
            await site.start()
        except OSError as error:
            await site.stop()
            _LOGGER.warning(
                "Address %s can't be used (%s); running without metrics and trying "
                "again every %d s. End the program that holds it, or change "
                "'metrics' in the settings",
                endpoint,
                error.strerror or error,
                SERVE_RETRY_INTERVAL.total_seconds(),
            )
            return False
        return True

    async def _async_serve(self, request: web.Request) -> web.Response:
        """Answer one scrape."""
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=self.render().encode(), headers=headers)

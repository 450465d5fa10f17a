"""Sets up the meters of a process and serves them to Prometheus."""

from aiohttp import web
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Meter
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

from pomelotrail_core.endpoint import Endpoint


class Metrics:
    """The meters of one process."""

    def __init__(self, process: str, zone: str) -> None:
        """Label every metric with the process and its availability zone."""
        resource = Resource.create({"service.name": process, "zone": zone})
        self._provider = MeterProvider(
            resource=resource, metric_readers=[PrometheusMetricReader()]
        )
        self._runner: web.AppRunner | None = None

    def meter(self, part: str) -> Meter:
        """Return the meter of one part."""
        return self._provider.get_meter(f"pomelotrail.{part}")

    async def async_start(self, endpoint: Endpoint) -> None:
        """Serve the metrics at ``/metrics`` of the endpoint."""
        application = web.Application()
        application.router.add_get("/metrics", _async_serve)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, endpoint.host, endpoint.port).start()

    async def async_stop(self) -> None:
        """Stop serving and flush the meters."""
        if self._runner is not None:
            await self._runner.cleanup()
        self._provider.shutdown()


async def _async_serve(request: web.Request) -> web.Response:
    """Answer one scrape."""
    body = generate_latest(REGISTRY)
    return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

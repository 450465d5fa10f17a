"""Run a stand-in as an HTTP server until it is stopped."""

import asyncio
import contextlib

import yaml
from aiohttp import web

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.process import announce_ready


async def async_serve_http(
    application: web.Application, endpoint: Endpoint, name: str, stop: asyncio.Event
) -> None:
    """Serve an application at an endpoint until ``stop`` is set."""
    runner = web.AppRunner(
        application, access_log=None, handler_cancellation=True, shutdown_timeout=0
    )
    await runner.setup()
    site = web.TCPSite(runner, endpoint.host, endpoint.port)
    await site.start()
    announce_ready(name)
    await stop.wait()
    await runner.cleanup()


def read_yaml(path: str) -> dict:
    """Return the settings of a stand-in."""
    with contextlib.closing(open(path)) as file:
        return yaml.safe_load(file)

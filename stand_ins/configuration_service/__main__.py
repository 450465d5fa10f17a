"""Run the service: ``python -m stand_ins.configuration_service SETTINGS``."""

import asyncio
import sys

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.process import run_process
from stand_ins.configuration_service.service import ConfigurationService
from stand_ins.serving import async_serve_http, read_yaml


async def _async_run(settings: dict, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set."""
    endpoint = Endpoint.parse(settings["address"]).unwrap()
    application = ConfigurationService().application()
    await async_serve_http(application, endpoint, settings["name"], stop)


if __name__ == "__main__":
    run_process(lambda stop: _async_run(read_yaml(sys.argv[1]), stop))

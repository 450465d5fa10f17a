"""Run a backend server: ``python -m stand_ins.backend_server SETTINGS``."""

import asyncio
import sys

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.process import run_process
from stand_ins.backend_server.capacity import Capacity
from stand_ins.backend_server.server import BackendServer, Behaviour
from stand_ins.serving import async_serve_http, read_yaml


async def _async_run(settings: dict, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set."""
    capacity = Capacity(settings["slots"], settings.get("warm_up", 20))
    if not settings.get("cold", False):
        capacity.completed = capacity.warm_up
    server = BackendServer(
        settings["name"],
        capacity,
        Behaviour(**settings.get("behaviour", {})),
        settings.get("seed", 0),
    )
    endpoint = Endpoint.parse(settings["address"]).unwrap()
    await async_serve_http(server.application(), endpoint, settings["name"], stop)


if __name__ == "__main__":
    run_process(lambda stop: _async_run(read_yaml(sys.argv[1]), stop))

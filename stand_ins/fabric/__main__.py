"""Runs the fabric: ``python -m stand_ins.fabric SETTINGS``.

Members and faults change at run time: ``POST /members`` takes the balancers by
service, ``POST /faults`` takes loss, duplicate, delay and delay_seconds.
"""

import asyncio
import random
import sys

import attrs
from aiohttp import web

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.process import run_process
from stand_ins.fabric.spray import Faults, ServiceSpray
from stand_ins.serving import async_serve_http, read_yaml


def _endpoints(texts: list[str]) -> list[Endpoint]:
    """Return the endpoints in a list of texts."""
    return [Endpoint.parse(text).unwrap() for text in texts]


class _Control:
    """Changes members and faults."""

    def __init__(self, services: dict[str, ServiceSpray], faults: Faults) -> None:
        """Control these services."""
        self._services = services
        self._faults = faults

    async def async_members(self, request: web.Request) -> web.Response:
        """Replace the balancers of services."""
        for name, balancers in (await request.json()).items():
            self._services[name].balancers = _endpoints(balancers)
        return web.Response()

    async def async_faults(self, request: web.Request) -> web.Response:
        """Replace some of the faults."""
        for field in attrs.fields(Faults):
            value = (await request.json()).get(field.name)
            if value is not None:
                setattr(self._faults, field.name, value)
        return web.Response()


async def _async_run(settings: dict, stop: asyncio.Event) -> None:
    """Open the addresses of the services and serve the control interface."""
    loop = asyncio.get_running_loop()
    faults = Faults(**settings.get("faults", {}))
    rng = random.Random(settings.get("seed", 0))
    services: dict[str, ServiceSpray] = {}
    for entry in settings["services"]:
        spray = ServiceSpray(_endpoints(entry["balancers"]), faults, rng)
        address = Endpoint.parse(entry["address"]).unwrap()
        await loop.create_datagram_endpoint(
            lambda spray=spray: spray, local_addr=address.socket_address
        )
        services[entry["name"]] = spray
    control = _Control(services, faults)
    application = web.Application()
    application.router.add_post("/members", control.async_members)
    application.router.add_post("/faults", control.async_faults)
    endpoint = Endpoint.parse(settings["control"]).unwrap()
    await async_serve_http(application, endpoint, settings["name"], stop)
    for spray in services.values():
        spray.close()


if __name__ == "__main__":
    run_process(lambda stop: _async_run(read_yaml(sys.argv[1]), stop))

"""Run the fabric: ``python -m stand_ins.fabric SETTINGS``.

Members and faults can be changed at run time: ``POST /members`` sets the balancers
by service, ``POST /faults`` sets loss, duplicate, delay and delay_seconds.
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


def _parse_endpoints(texts: list[str]) -> list[Endpoint]:
    """Return the parsed endpoints of a list."""
    return [Endpoint.parse(text).unwrap() for text in texts]


class _Control:
    """Control interface for members and faults."""

    def __init__(self, services: dict[str, ServiceSpray], faults: Faults) -> None:
        """Initialize with the controlled services and faults."""
        self._services = services
        self._faults = faults

    async def async_set_members(self, request: web.Request) -> web.Response:
        """Replace the balancers of services."""
        for name, balancers in (await request.json()).items():
            self._services[name].balancers = _parse_endpoints(balancers)
        return web.Response()

    async def async_set_faults(self, request: web.Request) -> web.Response:
        """Replace fields of the faults."""
        for field in attrs.fields(Faults):
            value = (await request.json()).get(field.name)
            if value is not None:
                setattr(self._faults, field.name, value)
        return web.Response()


async def _async_run(settings: dict, stop: asyncio.Event) -> None:
    """Open the addresses of services and serve the control interface."""
    loop = asyncio.get_running_loop()
    faults = Faults(**settings.get("faults", {}))
    rng = random.Random(settings.get("seed", 0))
    services: dict[str, ServiceSpray] = {}
    for entry in settings["services"]:
        spray = ServiceSpray(_parse_endpoints(entry["balancers"]), faults, rng)
        address = Endpoint.parse(entry["address"]).unwrap()
        await loop.create_datagram_endpoint(
            lambda spray=spray: spray, local_addr=address.socket_address
        )
        services[entry["name"]] = spray
    control = _Control(services, faults)
    application = web.Application()
    application.router.add_post("/members", control.async_set_members)
    application.router.add_post("/faults", control.async_set_faults)
    endpoint = Endpoint.parse(settings["control"]).unwrap()
    await async_serve_http(application, endpoint, settings["name"], stop)
    for spray in services.values():
        spray.close()


if __name__ == "__main__":
    run_process(lambda stop: _async_run(read_yaml(sys.argv[1]), stop))

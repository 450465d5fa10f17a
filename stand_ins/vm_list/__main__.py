"""Run the list: ``python -m stand_ins.vm_list SETTINGS``.

``GET /v1/vms`` returns the list as it was ``lag_seconds`` ago;
``PUT /admin/vms`` replaces the list.
"""

import asyncio
import sys
from collections import deque

from aiohttp import web

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.process import run_process
from stand_ins.serving import async_serve_http, read_yaml


class VmList:
    """A list that applies each change after a lag."""

    def __init__(self, vms: list[dict], lag_seconds: float) -> None:
        """Initialize with VMs and the lag."""
        self._lag_seconds = lag_seconds
        self._changes: deque[tuple[float, list[dict]]] = deque([(0.0, vms)])

    async def async_read(self, request: web.Request) -> web.Response:
        """Return the list as it was before the lag."""
        now = asyncio.get_running_loop().time()
        while len(self._changes) > 1 and self._changes[1][0] <= now:
            self._changes.popleft()
        return web.json_response(self._changes[0][1])

    async def async_replace(self, request: web.Request) -> web.Response:
        """Replace the list; the change is visible after the lag."""
        now = asyncio.get_running_loop().time()
        self._changes.append((now + self._lag_seconds, await request.json()))
        return web.Response()


async def _async_run(settings: dict, stop: asyncio.Event) -> None:
    """Serve until ``stop`` is set."""
    vms = VmList(settings.get("vms", []), settings.get("lag_seconds", 5.0))
    application = web.Application()
    application.router.add_get("/v1/vms", vms.async_read)
    application.router.add_put("/admin/vms", vms.async_replace)
    endpoint = Endpoint.parse(settings["address"]).unwrap()
    await async_serve_http(application, endpoint, settings["name"], stop)


if __name__ == "__main__":
    run_process(lambda stop: _async_run(read_yaml(sys.argv[1]), stop))

"""Service for a published document that can be read and watched."""

import asyncio
import enum

from aiohttp import web

from pomelotrail_core.configuration.const import VERSION_HEADER

SLOW_DELAY_SECONDS = 2.0


class Mode(enum.Enum):
    """Behaviour of the service."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    STALE = "stale"


class ConfigurationService:
    """Serves the latest document and counts calls; a long poll counts as one."""

    def __init__(self) -> None:
        """Initialize without a document."""
        self.calls = 0
        self._mode = Mode.UP
        self._version = 0
        self._text = ""
        self._parts: dict[str, str] = {}
        self._stale: tuple[int, str] | None = None
        self._published = asyncio.Condition()

    def application(self) -> web.Application:
        """Return the web application; the control interface is under ``/admin``."""
        application = web.Application(client_max_size=4_000_000)
        application.router.add_get("/v1/configuration", self.async_read)
        application.router.add_get(
            "/v1/configuration/parts/{key}", self.async_read_part
        )
        application.router.add_put("/admin/parts/{key}", self.async_publish_part)
        application.router.add_put("/admin/document", self.async_publish)
        application.router.add_post("/admin/mode/{mode}", self.async_set_mode)
        application.router.add_get("/admin/calls", self.async_read_calls)
        return application

    async def async_read(self, request: web.Request) -> web.Response:
        """Return a version newer than ``after``, waiting up to ``wait`` seconds."""
        self.calls += 1
        if self._mode is Mode.DOWN:
            return web.Response(status=503)
        if self._mode is Mode.SLOW:
            await asyncio.sleep(SLOW_DELAY_SECONDS)
        after = int(request.query.get("after", "0"))
        wait = float(request.query.get("wait", "0"))
        if self._mode is Mode.STALE and self._stale is not None:
            return self._response(*self._stale)
        try:
            async with asyncio.timeout(wait), self._published:
                await self._published.wait_for(lambda: self._version > after)
        except TimeoutError:
            pass
        if self._mode is Mode.DOWN:
            return web.Response(status=503)
        if self._version <= after:
            return web.Response(status=304)
        return self._response(self._version, self._text)

    async def async_publish(self, request: web.Request) -> web.Response:
        """Publish a document; its version is in a header."""
        if self._version:
            self._stale = (self._version, self._text)
        self._version = int(request.headers[VERSION_HEADER])
        self._text = await request.text()
        async with self._published:
            self._published.notify_all()
        return web.Response()

    async def async_read_part(self, request: web.Request) -> web.Response:
        """Return one part of a large document."""
        self.calls += 1
        if self._mode is Mode.DOWN:
            return web.Response(status=503)
        text = self._parts.get(request.match_info["key"])
        if text is None:
            return web.Response(status=404)
        return web.Response(text=text)

    async def async_publish_part(self, request: web.Request) -> web.Response:
        """Publish a part, before the document that lists it."""
        self._parts[request.match_info["key"]] = await request.text()
        return web.Response()

    async def async_set_mode(self, request: web.Request) -> web.Response:
        """Change how the service behaves."""
        self._mode = Mode(request.match_info["mode"])
        return web.Response()

    async def async_read_calls(self, request: web.Request) -> web.Response:
        """Return the number of calls."""
        return web.json_response({"calls": self.calls})

    def _response(self, version: int, text: str) -> web.Response:
        """Return the response for a document."""
        return web.Response(text=text, headers={VERSION_HEADER: str(version)})

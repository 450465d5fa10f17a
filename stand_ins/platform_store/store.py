"""Lists and watches items over HTTP, and misbehaves on order."""

import asyncio
import base64
from typing import Any

import attrs
from aiohttp import web


@attrs.define
class _Written:
    """An item as it was written, or its removal."""

    key: str
    revision: int
    value: bytes | None


@attrs.define
class Trouble:
    """How the store misbehaves.

    ``status`` answers every call with it, ``is_silent`` answers none, and
    ``body`` replaces every answer. ``delay_s`` makes answers late.
    """

    status: int = 0
    is_silent: bool = False
    body: bytes = b""
    delay_s: float = 0.0


class PlatformStore:
    """Items by key with one counter of revisions."""

    def __init__(self, page_items: int = 500) -> None:
        """Serve nothing yet."""
        self.trouble = Trouble()
        self.calls: list[str] = []
        self._page_items = page_items
        self._items: dict[str, _Written] = {}
        self._history: list[_Written] = []
        self._revision = 1
        self._forgotten = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def async_start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        application = web.Application()
        application.router.add_get("/kv-range", self._async_range)
        application.router.add_get("/kv-watch", self._async_watch)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, 0)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]

    async def async_stop(self) -> None:
        """Close all connections."""
        await self._runner.shutdown()
        await self._runner.cleanup()

    def write(self, key: str, value: bytes) -> None:
        """Write an item."""
        self._note(key, value)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._note(key, None)

    def forget_history(self) -> None:
        """Discard what watches could continue from."""
        self._forgotten = self._revision
        self._history.clear()

    def _note(self, key: str, value: bytes | None) -> None:
        """Record a change and wake the watches."""
        self._revision += 1
        written = _Written(key, self._revision, value)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = written
        self._history.append(written)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_misbehave(self, request: web.Request) -> web.Response | None:
        """Return the answer that the trouble prescribes, if any."""
        self.calls.append(request.path)
        await asyncio.sleep(self.trouble.delay_s)
        if self.trouble.is_silent:
            await asyncio.sleep(3600)
        if self.trouble.status:
            return web.Response(status=self.trouble.status)
        if self.trouble.body:
            return web.Response(body=self.trouble.body)
        return None

    async def _async_range(self, request: web.Request) -> web.Response:
        """Answer one page."""
        if (trouble := await self._async_misbehave(request)) is not None:
            return trouble
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = keys[: self._page_items]
        content = {
            "items": [_describe(self._items[key]) for key in page],
            "has_more": len(page) < len(keys),
            "at_rev": self._revision,
        }
        return web.json_response(content)

    async def _async_watch(self, request: web.Request) -> web.Response:
        """Answer with the changes after a revision, waiting for the first."""
        if (trouble := await self._async_misbehave(request)) is not None:
            return trouble
        after = int(request.query["after"])
        if after < self._forgotten:
            return web.Response(status=410)
        events = [each for each in self._history if each.revision > after]
        if not events:
            wait_s = int(request.query["wait_ms"]) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing changed, which the empty answer says.
                pass
            events = [each for each in self._history if each.revision > after]
        content = {"events": [_describe(each) for each in events]}
        return web.json_response({**content, "at_rev": self._revision})


def _describe(written: _Written) -> dict[str, Any]:
    """Return an item in the store's form."""
    head = {"key": written.key, "rev": written.revision}
    if written.value is None:
        return {**head, "tombstone": True}
    value = base64.b64encode(written.value).decode()
    return {**head, "value": value, "created": written.revision, "lease": 0}

"""HTTP server that lists and watches items, with configurable faults."""

import asyncio
import base64
from typing import Any

import attrs
from aiohttp import web


@attrs.define
class _StoredItem:
    """A written item, or the removal of one."""

    key: str
    revision: int
    value: bytes | None


@attrs.define
class StoreFaults:
    """Faults of the store.

    ``status`` is sent in reply to every request, ``is_silent`` leaves every request
    without a reply, ``body`` replaces every answer, and ``delay_s`` delays answers.
    """

    status: int = 0
    is_silent: bool = False
    body: bytes = b""
    delay_s: float = 0.0


@attrs.define
class StoreCopy:
    """What a store can be restored from."""

    items: dict[str, _StoredItem]
    history: list[_StoredItem]
    revision: int


class PlatformStore:
    """A store of items by key with one revision counter.

    A restore from an older copy begins a new era, and revisions continue from those of
    the copy::

        copy = store.copy()
        store.write("op/config", later_version)
        store.restore(copy)
    """

    def __init__(self, page_items: int = 500, page_bytes: int = 1_048_576) -> None:
        """Initialize without items.

        A page ends with the item that reaches a limit.
        """
        self.faults = StoreFaults()
        self._page_bytes = page_bytes
        self.calls: list[str] = []
        self._page_items = page_items
        self._items: dict[str, _StoredItem] = {}
        self._history: list[_StoredItem] = []
        self._revision = 1
        self._era: int | None = 1
        self._next_copy: StoreCopy | None = None
        self._discarded_up_to = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def async_start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        application = web.Application()
        application.router.add_get("/kv-range", self._async_list)
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

    async def async_drop_connections(self) -> None:
        """Close the connections that are open now."""
        await self._runner.server.shutdown(0)

    def close_connections(self) -> None:
        """Close the connections, as servers do with those that are idle for long."""
        for each in self._runner.server.connections:
            each.force_close()

    def write(self, key: str, value: bytes) -> None:
        """Write an item."""
        self._record_change(key, value)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._record_change(key, None)

    def copy(self) -> StoreCopy:
        """Return a copy to restore the store from later."""
        return StoreCopy(dict(self._items), list(self._history), self._revision)

    def restore(self, copy: StoreCopy) -> dict[str, bytes | None]:
        """Replace all items by those of a copy and begin a new era.

        Returns the values that the copy lacks, by key; None for a removed item.
        """
        changed = [
            key for key in self._items if self._items[key] != copy.items.get(key)
        ]
        lost = {key: self._items[key].value for key in changed}
        lost |= {key: None for key in copy.items.keys() - self._items.keys()}
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._revision = copy.revision
        if self._era is not None:
            self._era += 1
        self._changed.set()
        self._changed = asyncio.Event()

        return lost

    def write_again(self, lost: dict[str, bytes | None], copy: StoreCopy) -> None:
        """Write what a restore lost, unless it was written since."""
        for key, value in lost.items():
            if self._items.get(key) == copy.items.get(key):
                self._record_change(key, value)

    def restore_after_call(self, copy: StoreCopy) -> None:
        """Restore the store once it has answered the next call for items."""
        self._next_copy = copy

    def report_no_era(self) -> None:
        """Send no era, as stores without eras do."""
        self._era = None

    def forget_history(self) -> None:
        """Discard the history that watches continue from."""
        self._discarded_up_to = self._revision
        self._history.clear()

    def _record_change(self, key: str, value: bytes | None) -> None:
        """Record a change and notify the watches."""
        self._revision += 1
        item = _StoredItem(key, self._revision, value)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item
        self._history.append(item)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_apply_faults(self, request: web.Request) -> web.Response | None:
        """Apply the faults and return the faulty answer, if any."""
        self.calls.append(request.path)
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.is_silent:
            await asyncio.sleep(3600)
        if self.faults.status:
            return self._add_era(web.Response(status=self.faults.status))
        if self.faults.body:
            return self._add_era(web.Response(body=self.faults.body))
        return None

    def _add_era(self, response: web.Response) -> web.Response:
        """Add the era to a response."""
        if self._era is not None:
            response.headers["Store-Era"] = str(self._era)
        return response

    async def _async_list(self, request: web.Request) -> web.Response:
        """Return one page of items."""
        if (faulty := await self._async_apply_faults(request)) is not None:
            return faulty
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = self._first_page(keys)
        content = {
            "items": [_encode_item(self._items[key]) for key in page],
            "has_more": len(page) < len(keys),
            "at_rev": self._revision,
        }
        response = self._add_era(web.json_response(content))
        if self._next_copy is not None:
            self.restore(self._next_copy)
            self._next_copy = None
        return response

    def _first_page(self, keys: list[str]) -> list[str]:
        """Return the first keys, as many as one page has."""
        size = 0
        for index, key in enumerate(keys[: self._page_items]):
            size += len(self._items[key].value)
            if size >= self._page_bytes:
                return keys[: index + 1]
        return keys[: self._page_items]

    async def _async_watch(self, request: web.Request) -> web.Response:
        """Return the changes after a revision, waiting for the first one."""
        if (faulty := await self._async_apply_faults(request)) is not None:
            return faulty
        after = int(request.query["after"])
        if not self._discarded_up_to <= after <= self._revision:
            return self._add_era(web.Response(status=410))
        events = [item for item in self._history if item.revision > after]
        if not events:
            wait_s = int(request.query["wait_ms"]) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                # Without changes, the answer is empty.
                pass
            events = [item for item in self._history if item.revision > after]
        content = {"events": [_encode_item(item) for item in events]}
        return self._add_era(web.json_response({**content, "at_rev": self._revision}))


def _encode_item(item: _StoredItem) -> dict[str, Any]:
    """Return an item in the format of the store."""
    head = {"key": item.key, "rev": item.revision}
    if item.value is None:
        return {**head, "tombstone": True}
    value = base64.b64encode(item.value).decode()
    return {**head, "value": value, "created": item.revision, "lease": 0}

"""A source in memory that can be unreachable and be restored from an older copy."""

import asyncio
from datetime import timedelta

import attrs
import msgspec
from result import Err, Ok, Result

from pomelotrail_core.directory import (
    ConfigurationItem,
    DirectoryItem,
    DirectorySource,
    Listing,
    RemovedItem,
    Revision,
    ServerItem,
    ServerState,
    SourceError,
    SourceProblem,
    ZoneItem,
)


@attrs.frozen
class SourceCopy:
    """What a source can be restored from: its history up to a number."""

    history: tuple[tuple[int, DirectoryItem], ...]
    number: int


class MemorySource(DirectorySource):
    """Follows the platform's protocol: watches continue from a number, of any era.

    An outage breaks the calls that wait::

        copy = source.copy()
        source.write(configuration(8))
        source.is_reachable = False
        source.restore(copy)
        source.is_reachable = True
    """

    def __init__(self, *items: DirectoryItem) -> None:
        """Initialize with the first items."""
        self._era = 1
        self._number = 0
        self._history: list[tuple[int, DirectoryItem]] = []
        self._is_reachable = True
        self.loses_next_answer = False
        self.loses_next_check = False
        self.transfer_s = 0.0
        self._is_receiving = False
        self._changed = asyncio.Event()
        for item in items:
            self.write(item)

    @property
    def is_receiving(self) -> bool:
        """Return whether the answer to a watch is being transferred."""
        return self._is_receiving

    @property
    def revision(self) -> Revision:
        """Return the revision of the last change."""
        return Revision(self._era, self._number)

    @property
    def zones_out(self) -> frozenset[str]:
        """Return the zones out of service."""
        return frozenset(x.zone for x in self._items() if isinstance(x, ZoneItem))

    @property
    def ready_servers(self) -> list[str]:
        """Return the servers that may get new flows."""
        return sorted(
            item.server.identity
            for item in self._items()
            if isinstance(item, ServerItem)
            and item.server.state is ServerState.READY
            and item.server.zone not in self.zones_out
        )

    @property
    def is_reachable(self) -> bool:
        """Return whether calls are answered."""
        return self._is_reachable

    @is_reachable.setter
    def is_reachable(self, value: bool) -> None:
        """Begin or end an outage."""
        self._is_reachable = value
        self._notify()

    def write(self, item: DirectoryItem) -> None:
        """Write an item or its removal."""
        self._number += 1
        self._history.append((self._number, item))
        self._notify()

    def copy(self) -> SourceCopy:
        """Return a copy to restore the source from."""
        return SourceCopy(tuple(self._history), self._number)

    def restore(self, copy: SourceCopy) -> None:
        """Continue from a copy, in a new era."""
        self._history = list(copy.history)
        self._number = copy.number
        self._era += 1

    async def async_list(self, timeout: timedelta) -> Result[Listing, SourceError]:
        """Return the items that were not replaced or removed."""
        if not self._is_reachable:
            return _unreachable()
        return Ok(Listing(tuple(self._items()), self.revision))

    async def async_revision(self, timeout: timedelta) -> Result[Revision, SourceError]:
        """Return the revision of the last change."""
        if self.loses_next_check:
            self.loses_next_check = False
            await asyncio.sleep(timeout.total_seconds())
            return _unreachable()
        return Ok(self.revision) if self._is_reachable else _unreachable()

    async def async_changes(
        self, after: Revision, wait: timedelta, timeout: timedelta
    ) -> Result[Listing, SourceError]:
        """Return the changes after a number; wait for the first one."""
        times_out_at = asyncio.get_running_loop().time() + timeout.total_seconds()
        if self._is_reachable and after.number == self._number:
            try:
                async with asyncio.timeout(wait.total_seconds()):
                    await self._changed.wait()
            except TimeoutError:
                # Without changes, the answer is empty.
                pass
        if self.loses_next_answer and after.number != self._number:
            self.loses_next_answer = False
            await asyncio.sleep(times_out_at - asyncio.get_running_loop().time())
            return _unreachable()
        if after.number != self._number and self.transfer_s:
            self._is_receiving = True
            await asyncio.sleep(self.transfer_s)
            self._is_receiving = False
        if not self._is_reachable:
            return _unreachable()
        if after.number > self._number:
            return Err(SourceError(SourceProblem.HISTORY_LOST, "test"))
        items = [
            self._stamp(number, item)
            for number, item in self._history
            if number > after.number
        ]
        return Ok(Listing(tuple(items), self.revision))

    def _items(self) -> list[DirectoryItem]:
        """Return the present items in the order in which they were written."""
        latest = {_key(item): (number, item) for number, item in self._history}
        return [
            self._stamp(number, item)
            for number, item in sorted(latest.values(), key=lambda entry: entry[0])
            if not isinstance(item, RemovedItem)
        ]

    def _stamp(self, number: int, item: DirectoryItem) -> DirectoryItem:
        """Return an item as read in the current era."""
        revision = Revision(self._era, number)
        match item:
            case ServerItem(server):
                return ServerItem(msgspec.structs.replace(server, revision=revision))
            case ZoneItem(zone):
                return ZoneItem(zone, revision)
        return item

    def _notify(self) -> None:
        """End the wait of all watches."""
        self._changed.set()
        self._changed = asyncio.Event()


def _key(item: DirectoryItem) -> tuple[str, str]:
    """Return the key of an item, which is also that of its removal."""
    match item:
        case ServerItem(server):
            return "server", server.identity
        case ZoneItem(zone):
            return "zone", zone
        case RemovedItem(identity, zone):
            return ("server", identity) if identity else ("zone", zone)
        case ConfigurationItem():
            return "configuration", ""
    return "other", item.key


def _unreachable() -> Result[Listing, SourceError]:
    """Return the result of a call during an outage."""
    return Err(SourceError(SourceProblem.UNREACHABLE, "test"))

"""A directory that follows a source in memory."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Final

import msgspec

from harness.flow_fleet import MemoryLogWriter
from harness.virtual_time import VirtualClock, run_in_virtual_time
from pomelotrail_core.counters import Counters
from pomelotrail_core.directory import Directory, DirectoryFollower, DirectoryItem
from pomelotrail_core.event_log import EventLog

from .builders import ENTRY_LIFETIME, MAX_FLOW_DURATION, configuration
from .memory_source import MemorySource, SourceCopy

# Operators' limit on the time from the confirmation of a change until it is in force.
APPLY_SECONDS: Final = 3.0
# The limit holds again for a process this long after trouble at the source.
SETTLED_SECONDS: Final = 4.0
OUTAGE_SECONDS: Final = 2.0
# What the restored source lacks is written again within this time, or gone.
REWRITE_SECONDS: Final = 2.0
# Operators may write later, and an evacuated zone must not get flows until then.
OPERATOR_REWRITE_SECONDS: Final = 10.0
COLD_FLOWS_PER_S: Final = 8.0
STARTED_MS: Final = 1_780_000_000_000


class FollowedSource:
    """A source in memory and a directory that follows it."""

    def __init__(self) -> None:
        """Start to follow a source with a configuration."""
        clock = VirtualClock()
        self.source = MemorySource(configuration(4, COLD_FLOWS_PER_S))
        self.counters = Counters()
        self._lines = MemoryLogWriter()
        self._event_log = EventLog("test", clock, self._lines)
        self.directory = Directory(
            clock, self._event_log, self.counters, ENTRY_LIFETIME, MAX_FLOW_DURATION
        )
        follower = DirectoryFollower(
            self.source, self.source, self.directory, clock, random.Random(1)
        )
        self._following = asyncio.create_task(follower.async_follow())

    @property
    def candidates(self) -> list[str]:
        """Return the identities of the servers that may get new flows."""
        return [each.identity for each in self.directory.candidates("ledger")]

    @property
    def logged_events(self) -> list[str]:
        """Return the events of all log lines."""
        self._event_log.flush()
        lines = self._lines.content.splitlines()
        return [msgspec.json.decode(line)["event"] for line in lines]

    @property
    def possible_owners(self) -> list[str]:
        """Return the identities of the servers that may own flows."""
        return [each.identity for each in self.directory.possible_owners()]

    async def async_restore(
        self, copy: SourceCopy, outage_s: float = OUTAGE_SECONDS
    ) -> None:
        """Restore the source from a copy during an outage."""
        self.source.is_reachable = False
        await asyncio.sleep(outage_s)
        self.source.restore(copy)
        self.source.is_reachable = True

    async def async_lose(self, item: DirectoryItem) -> None:
        """Restore the source from a copy that lacks an item which was read."""
        copy = self.source.copy()
        self.source.write(item)
        await asyncio.sleep(1)
        await self.async_restore(copy)

    def stop(self) -> None:
        """Stop following."""
        self._following.cancel()


def run_followed(test: Callable[[FollowedSource], Awaitable[None]]) -> None:
    """Run a test with a source that is followed."""

    async def async_run() -> None:
        """Follow the source while the test runs."""
        followed = FollowedSource()
        await asyncio.sleep(1)
        await test(followed)
        followed.stop()

    run_in_virtual_time(async_run())

"""Tests of the follower with a source that fails."""

import asyncio
import contextlib
import random
import unittest
from collections import deque
from datetime import timedelta

from result import Err, Ok, Result

from harness.flow_fleet import MemoryLogWriter
from harness.virtual_time import VirtualClock, run_in_virtual_time
from pomelotrail_core.counters import Counters
from pomelotrail_core.directory import (
    Directory,
    DirectoryFollower,
    DirectorySource,
    Listing,
    Revision,
    SourceError,
    SourceProblem,
)
from pomelotrail_core.event_log import EventLog

from .builders import ENTRY_LIFETIME, MAX_FLOW_DURATION, configuration, listing

Response = Result[Listing, SourceError]


def failure(problem: SourceProblem) -> Response:
    """Return the result of a failed call."""
    return Err(SourceError(problem, "test"))


class ScriptedSource(DirectorySource):
    """Returns prepared responses; a watch without one waits."""

    def __init__(self, listings: list[Response], changes: list[Response]) -> None:
        """Initialize with the responses in order."""
        self.listings = deque(listings)
        self.changes = deque(changes)
        self.calls: list[tuple[float, str]] = []

    async def async_list(self, timeout: timedelta) -> Response:
        """Return the next listing; the last one is repeated."""
        self._record("list")
        return self.listings.popleft() if len(self.listings) > 1 else self.listings[0]

    async def async_revision(self, timeout: timedelta) -> Result[Revision, SourceError]:
        """Return the revision of the last listing."""
        self._record("revision")
        return Ok(self.listings[0].ok_value.revision)

    async def async_changes(
        self, after: Revision, wait: timedelta, timeout: timedelta
    ) -> Response:
        """Return the next changes."""
        self._record("watch")
        if self.changes:
            return self.changes.popleft()
        await asyncio.sleep(wait.total_seconds())
        return Ok(Listing((), after))

    def _record(self, kind: str) -> None:
        """Record a call."""
        self.calls.append((asyncio.get_running_loop().time(), kind))


def follow(source: ScriptedSource, seconds: float) -> Directory:
    """Follow a source for some time and return the directory."""

    async def async_run() -> Directory:
        """Run the follower."""
        clock = VirtualClock()
        directory = Directory(
            clock,
            EventLog("test", clock, MemoryLogWriter()),
            Counters(),
            ENTRY_LIFETIME,
            MAX_FLOW_DURATION,
        )
        follower = DirectoryFollower(source, source, directory, clock, random.Random(1))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await follower.async_follow()
        return directory

    return run_in_virtual_time(async_run())


class DirectoryFollowerTest(unittest.TestCase):
    """Calls of the follower and their effects."""

    def test_changes_come_into_force(self) -> None:
        """A change that follows the listing is applied."""
        source = ScriptedSource(
            [Ok(listing(configuration(1)))], [Ok(listing(configuration(2)))]
        )
        self.assertEqual(follow(source, 1).version, 2)

    def test_lost_history_is_listed_again_at_once(self) -> None:
        """The follower lists again without a delay when the history was lost."""
        source = ScriptedSource(
            [Ok(listing(configuration(1))), Ok(listing(configuration(4)))],
            [failure(SourceProblem.HISTORY_LOST)],
        )
        self.assertEqual(follow(source, 0.01).version, 4)

    def test_changes_that_are_too_large_are_listed(self) -> None:
        """Guards against a follower that asks for the same changes for ever."""
        source = ScriptedSource(
            [Ok(listing(configuration(version))) for version in range(1, 5)],
            [failure(SourceProblem.TOO_LARGE)] * 3,
        )
        self.assertEqual(follow(source, 10).version, 4)
        kinds = [kind for _, kind in source.calls]
        self.assertEqual(kinds.count("list"), 4)

    def test_failures_are_spread_out(self) -> None:
        """A store that rejects calls gets few of them, and the version is kept."""
        source = ScriptedSource(
            [Ok(listing(configuration(1)))],
            [failure(SourceProblem.OVERLOADED)] * 50,
        )
        directory = follow(source, 10)
        self.assertEqual(directory.version, 1)
        self.assertLess(len(source.calls), 25)

    def test_process_without_configuration_retries_often(self) -> None:
        """It retries at least every 250 ms until the store is reachable."""
        refusals = [failure(SourceProblem.UNREACHABLE)] * 40
        source = ScriptedSource([*refusals, Ok(listing(configuration(1)))], [])
        follow(source, 20)
        times = [moment for moment, kind in source.calls if kind == "list"]
        gaps = [later - now for now, later in zip(times, times[1:], strict=False)]
        self.assertLessEqual(max(gaps), 0.25)

    def test_changes_in_quick_succession_share_calls(self) -> None:
        """Changes during 10 s are read in batches, each within 1 s."""
        source = ScriptedSource(
            [Ok(listing(configuration(1)))],
            [Ok(listing(configuration(version))) for version in range(2, 99)],
        )
        follow(source, 10)
        times = [moment for moment, _ in source.calls]
        gaps = [later - now for now, later in zip(times[1:], times[2:], strict=False)]
        self.assertLessEqual(len(times), 15)
        self.assertLessEqual(max(gaps), 1.0)

    def test_refresh_ends_the_batch_window(self) -> None:
        """A requested refresh does not wait for further changes."""
        source = ScriptedSource(
            [Ok(listing(configuration(1)))],
            [Ok(listing(configuration(2))), Ok(listing(configuration(3)))],
        )

        async def async_run() -> int:
            """Request a refresh 10 ms after the first change."""
            clock = VirtualClock()
            directory = Directory(
                clock,
                EventLog("test", clock, MemoryLogWriter()),
                Counters(),
                ENTRY_LIFETIME,
                MAX_FLOW_DURATION,
            )
            follower = DirectoryFollower(
                source, source, directory, clock, random.Random(1)
            )
            following = asyncio.create_task(follower.async_follow())
            await asyncio.sleep(0.01)
            follower.request_refresh()
            await asyncio.sleep(0.01)
            following.cancel()
            return directory.version

        self.assertEqual(run_in_virtual_time(async_run()), 3)

    def test_store_without_changes_gets_few_calls(self) -> None:
        """Calls are billed, so a store without changes gets few of them."""
        source = ScriptedSource([Ok(listing(configuration(1)))], [])
        follow(source, 40)
        kinds = [kind for _, kind in source.calls]
        checks = kinds.count("revision")
        self.assertLessEqual(len(kinds) - checks, 12)
        # An answer that was lost must be noticed within the limit of 3 s.
        self.assertLessEqual(checks, 40 / 3)

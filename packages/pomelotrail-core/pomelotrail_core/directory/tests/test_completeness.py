"""Tests of the completeness check of a directory."""

import asyncio
import unittest
from datetime import timedelta
from typing import Final

from result import Ok

from harness.flow_fleet import FakeDirectorySource, MemoryLogWriter, later
from harness.virtual_time import VirtualClock, run_in_virtual_time
from pomelotrail_core.counters import Counters
from pomelotrail_core.directory import CompletenessCheck, Directory, Listing, Revision
from pomelotrail_core.event_log import EventLog

from .builders import ENTRY_LIFETIME, MAX_FLOW_DURATION, configuration

# Longer than entries are kept that are missing after an outage or a restore.
GRACE_SECONDS: Final = 3


class CountingSource(FakeDirectorySource):
    """Records the time of each revision query."""

    def __init__(self) -> None:
        """Start without calls."""
        super().__init__()
        self.calls: list[float] = []

    async def async_revision(self, timeout: timedelta):  # noqa: ANN201
        """Return the revision and record the call."""
        self.calls.append(asyncio.get_running_loop().time())
        return await super().async_revision(timeout)


class SlowSource(FakeDirectorySource):
    """Returns the revision as of the start of the call after a delay."""

    def __init__(self, delay_s: float) -> None:
        """Initialize with the delay of the response."""
        super().__init__()
        self._delay_s = delay_s

    async def async_revision(self, timeout: timedelta):  # noqa: ANN201
        """Return the revision as of the start of the call."""
        revision = self.revision
        await asyncio.sleep(self._delay_s)
        return Ok(revision)


def make_directory(clock: VirtualClock) -> Directory:
    """Return an empty directory."""
    return Directory(
        clock,
        EventLog("test", clock, MemoryLogWriter()),
        Counters(),
        ENTRY_LIFETIME,
        MAX_FLOW_DURATION,
    )


class CompletenessCheckTest(unittest.TestCase):
    """Results of checks and the calls that they make."""

    def setUp(self) -> None:
        """Record whether a refresh of the follower was requested."""
        self.refresh_requested = asyncio.Event()

    def run_checks(self, waits: list[float], behind: int = 0, is_cut: bool = False):  # noqa: ANN201
        """Return the results of checks started at the given times, and the calls."""
        source = CountingSource()

        async def async_check(check: CompletenessCheck, wait: float) -> bool:
            """Check after a wait."""
            await asyncio.sleep(wait)
            return await check.async_is_complete(VirtualClock().monotonic())

        async def async_run() -> list[bool]:
            """Run all checks."""
            clock = VirtualClock()
            directory = make_directory(clock)
            revision = later(source.revision, -behind)
            directory.replace(Listing((configuration(1),), revision))
            source.is_reachable = not is_cut
            check = CompletenessCheck(
                source, directory, clock, self.refresh_requested.set
            )
            return await asyncio.gather(*(async_check(check, wait) for wait in waits))

        return run_in_virtual_time(async_run()), source.calls

    def test_complete(self) -> None:
        """A directory at the revision of the source is complete."""
        self.assertEqual(self.run_checks([0.0])[0], [True])
        self.assertFalse(self.refresh_requested.is_set())

    def test_behind(self) -> None:
        """A directory that stays behind is incomplete and requests a refresh."""
        self.assertEqual(self.run_checks([0.0], behind=1)[0], [False])
        self.assertTrue(self.refresh_requested.is_set())

    def test_source_not_reached(self) -> None:
        """The result is False if the source is unreachable."""
        self.assertEqual(self.run_checks([0.0], is_cut=True)[0], [False])

    def test_power_loss(self) -> None:
        """Checks for 1,000 broken flows within 2 s share a few calls."""
        answers, calls = self.run_checks([index / 500 for index in range(1_000)])
        self.assertTrue(all(answers))
        self.assertLessEqual(len(calls), 2 / 0.15 + 2)
        gaps = [later - now for now, later in zip(calls, calls[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 0.149)

    def test_change_after_the_call(self) -> None:
        """A check that starts during the call of another one makes its own call.

        The response to the first call may predate the second check, so it would miss a
        server that registered in between.
        """

        async def async_run() -> tuple[bool, bool]:
            """Change the revision while the first response is in flight."""
            clock = VirtualClock()
            source = SlowSource(0.1)
            directory = make_directory(clock)
            directory.replace(Listing((configuration(1),), source.revision))
            check = CompletenessCheck(
                source, directory, clock, self.refresh_requested.set
            )
            first = asyncio.create_task(check.async_is_complete(clock.monotonic()))
            await asyncio.sleep(0.08)
            source.revision = later(source.revision)
            second = asyncio.create_task(check.async_is_complete(clock.monotonic()))
            return await first, await second

        self.assertEqual(run_in_virtual_time(async_run()), (True, False))

    def test_restore_that_only_the_check_has_seen(self) -> None:
        """A directory of an earlier era is incomplete, also at a higher number.

        A server that registered after the restore would be missing, and its flows would
        be reset.
        """

        async def async_run() -> bool:
            """Check a directory that has read changes that the restore lost."""
            clock = VirtualClock()
            source = CountingSource()
            directory = make_directory(clock)
            directory.replace(Listing((configuration(1),), source.revision))
            source.revision = Revision(source.revision.era + 1, 15)
            check = CompletenessCheck(
                source, directory, clock, self.refresh_requested.set
            )
            return await check.async_is_complete(clock.monotonic())

        self.assertFalse(run_in_virtual_time(async_run()))
        self.assertTrue(self.refresh_requested.is_set())

    def test_response_from_before_a_restore(self) -> None:
        """It says nothing about a directory that has read the restored source since."""

        async def async_run() -> int:
            """Check before and after the directory reads the restored source."""
            clock = VirtualClock()
            source = CountingSource()
            directory = make_directory(clock)
            directory.replace(Listing((configuration(1),), source.revision))
            check = CompletenessCheck(
                source, directory, clock, self.refresh_requested.set
            )
            started = clock.monotonic()
            await check.async_is_complete(started)
            source.revision = Revision(source.revision.era + 1, 200)
            directory.replace(Listing((configuration(1),), source.revision))
            await asyncio.sleep(GRACE_SECONDS)
            await check.async_is_complete(started)
            return len(source.calls)

        self.assertEqual(run_in_virtual_time(async_run()), 2)

    def test_response_from_before_entries_were_written_again(self) -> None:
        """It doesn't cover the entries that a peer's outage made expire."""

        async def async_run() -> int:
            """Check before a peer reports an outage, and after its grace period."""
            clock = VirtualClock()
            source = CountingSource()
            directory = make_directory(clock)
            directory.replace(Listing((configuration(1),), source.revision))
            check = CompletenessCheck(
                source, directory, clock, self.refresh_requested.set
            )
            started = clock.monotonic()
            await check.async_is_complete(started)
            directory.record_peer_outage(timedelta(seconds=1))
            await asyncio.sleep(GRACE_SECONDS)
            await check.async_is_complete(started)
            return len(source.calls)

        self.assertEqual(run_in_virtual_time(async_run()), 2)

    def test_response_covers_earlier_times(self) -> None:
        """A check for a time before the last call reuses its response."""

        async def async_run() -> tuple[bool, int]:
            """Check for an earlier time twice."""
            clock = VirtualClock()
            source = CountingSource()
            directory = make_directory(clock)
            directory.replace(Listing((configuration(1),), source.revision))
            check = CompletenessCheck(
                source, directory, clock, self.refresh_requested.set
            )
            started = clock.monotonic()
            await check.async_is_complete(started)
            await asyncio.sleep(1)
            return await check.async_is_complete(started), len(source.calls)

        self.assertEqual(run_in_virtual_time(async_run()), (True, 1))

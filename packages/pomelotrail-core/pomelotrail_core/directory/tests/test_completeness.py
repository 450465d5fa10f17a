"""Tests of comparing a directory's revision with the source's."""

import asyncio
import unittest
from datetime import timedelta

from result import Ok

from harness.flow_fleet import KeptLines, StandInSource
from harness.virtual_time import VirtualClock, run_in_virtual_time
from pomelotrail_core.directory import CompletenessCheck, Directory
from pomelotrail_core.event_log import EventLog

from .builders import configuration, listing


class CountingSource(StandInSource):
    """Records when it was asked."""

    def __init__(self) -> None:
        """Start without calls."""
        super().__init__()
        self.calls: list[float] = []

    async def async_revision(self, timeout: timedelta):  # noqa: ANN201
        """Return the revision and record the call."""
        self.calls.append(asyncio.get_running_loop().time())
        return await super().async_revision(timeout)


class SlowSource(StandInSource):
    """Tells the revision that it had when the call began, a while later."""

    def __init__(self, delay_s: float) -> None:
        """Answer after a delay."""
        super().__init__()
        self._delay_s = delay_s

    async def async_revision(self, timeout: timedelta):  # noqa: ANN201
        """Return the revision of the beginning."""
        revision = self.revision
        await asyncio.sleep(self._delay_s)
        return Ok(revision)


class CompletenessCheckTest(unittest.TestCase):
    """Answers and the calls that they cost."""

    def setUp(self) -> None:
        """Note whether the follower was asked to hurry."""
        self.hasten = asyncio.Event()

    def run_checks(self, waits: list[float], behind: int = 0, cut: bool = False):  # noqa: ANN201
        """Return the answers of checks begun at the given times, and the calls."""
        source = CountingSource()

        async def async_check(check: CompletenessCheck, wait: float) -> bool:
            """Check after a wait."""
            await asyncio.sleep(wait)
            return await check.async_is_complete(VirtualClock().monotonic())

        async def async_run() -> list[bool]:
            """Run all checks."""
            clock = VirtualClock()
            directory = Directory(clock, EventLog("test", clock, KeptLines()))
            revision = source.revision - behind
            directory.replace(listing(configuration(1), revision=revision))
            source.is_reached = not cut
            check = CompletenessCheck(source, directory, clock, self.hasten.set)
            return await asyncio.gather(*(async_check(check, w) for w in waits))

        return run_in_virtual_time(async_run()), source.calls

    def test_complete(self) -> None:
        """Equal revisions mean that nothing is missing."""
        self.assertEqual(self.run_checks([0.0])[0], [True])
        self.assertFalse(self.hasten.is_set())

    def test_behind(self) -> None:
        """A change that does not arrive leaves the answer open, but is asked for."""
        self.assertEqual(self.run_checks([0.0], behind=1)[0], [False])
        self.assertTrue(self.hasten.is_set())

    def test_source_not_reached(self) -> None:
        """Without the source nothing is known."""
        self.assertEqual(self.run_checks([0.0], cut=True)[0], [False])

    def test_power_loss(self) -> None:
        """A thousand dead flows in two seconds cost a few calls."""
        answers, calls = self.run_checks([index / 500 for index in range(1_000)])
        self.assertTrue(all(answers))
        self.assertLessEqual(len(calls), 2 / 0.15 + 2)
        gaps = [later - now for now, later in zip(calls, calls[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 0.149)

    def test_change_after_the_call(self) -> None:
        """A check that begins during another one's call makes a call of its own.

        The first call tells a revision of before the second check, and a server may
        have registered in between.
        """

        async def async_run() -> tuple[bool, bool]:
            """Let a change happen while the first answer is on its way."""
            clock = VirtualClock()
            source = SlowSource(0.1)
            directory = Directory(clock, EventLog("test", clock, KeptLines()))
            directory.replace(listing(configuration(1), revision=source.revision))
            check = CompletenessCheck(source, directory, clock, self.hasten.set)
            first = asyncio.create_task(check.async_is_complete(clock.monotonic()))
            await asyncio.sleep(0.08)
            source.revision += 1
            second = asyncio.create_task(check.async_is_complete(clock.monotonic()))
            return await first, await second

        self.assertEqual(run_in_virtual_time(async_run()), (True, False))

    def test_answer_counts_for_earlier_times(self) -> None:
        """A lookup that began before the last call needs no other one."""

        async def async_run() -> tuple[bool, int]:
            """Check for an earlier time twice."""
            clock = VirtualClock()
            source = CountingSource()
            directory = Directory(clock, EventLog("test", clock, KeptLines()))
            directory.replace(listing(configuration(1), revision=source.revision))
            check = CompletenessCheck(source, directory, clock, self.hasten.set)
            began = clock.monotonic()
            await check.async_is_complete(began)
            await asyncio.sleep(1)
            return await check.async_is_complete(began), len(source.calls)

        self.assertEqual(run_in_virtual_time(async_run()), (True, 1))

"""Tests of the health monitoring of a backend server."""

import asyncio
import unittest
from collections.abc import Sequence

import aiohttp
from aiohttp.test_utils import TestServer

from harness.builders import request_class
from harness.fake_clock import FakeClock, async_run_ready_tasks
from pomelotrail_companion.admission import AdaptiveLimit, ColdEvidence
from pomelotrail_companion.backend.const import HEALTH_INTERVAL
from pomelotrail_companion.backend.health import HealthSource, HealthWatch, HttpHealth
from pomelotrail_core.timeline import Recorder
from stand_ins.backend_server.capacity import Capacity
from stand_ins.backend_server.server import BackendServer, Behaviour


class _ScriptedHealth(HealthSource):
    """Returns the reports of a list, then repeats the last one."""

    def __init__(self, reports: Sequence[bool | None]) -> None:
        """Initialize with the reports."""
        self._reports = list(reports)

    async def async_is_warm(self) -> bool | None:
        """Return the next report."""
        is_last = len(self._reports) == 1
        return self._reports[0] if is_last else self._reports.pop(0)


class HealthWatchTest(unittest.IsolatedAsyncioTestCase):
    """Reports of cold count when they begin; no report counts as warm."""

    async def async_count(self, reports: Sequence[bool | None]) -> int:
        """Return how often the reports count as evidence."""
        clock = FakeClock()
        reported: list[None] = []
        watch = HealthWatch(
            _ScriptedHealth(reports), clock, lambda: reported.append(None)
        )
        task = asyncio.create_task(watch.async_run())
        await async_run_ready_tasks()
        await clock.async_advance(HEALTH_INTERVAL * (len(reports) + 5))
        task.cancel()
        return len(reported)

    async def test_announced_cold_counts_once(self) -> None:
        """A report that stays wrong does not keep the limit low."""
        self.assertEqual(await self.async_count([True, False, False, False]), 1)

    async def test_cold_twice_counts_twice(self) -> None:
        """A server that reported warm in between has turned cold again."""
        self.assertEqual(await self.async_count([False, True, False]), 2)

    async def test_missing_reports_are_ignored(self) -> None:
        """An endpoint without an answer neither starts nor ends a cold state."""
        self.assertEqual(await self.async_count([True, None]), 0)
        self.assertEqual(await self.async_count([False, None, False]), 1)

    async def test_warm_report_does_not_raise_the_limit(self) -> None:
        """The limit of a cold backend server grows by completed work only."""
        clock = FakeClock()
        limit = AdaptiveLimit(5, clock, Recorder("ledger-1", "veraval", clock))
        permit = limit.issue_permit(request_class().name)
        watch = HealthWatch(
            _ScriptedHealth([False, True]),
            clock,
            lambda: limit.handle_evidence(ColdEvidence.REPORTED),
        )
        task = asyncio.create_task(watch.async_run())
        await clock.async_advance(HEALTH_INTERVAL * 60)
        task.cancel()
        self.assertEqual(limit.limit, 1)
        self.assertIsNotNone(permit)


class HttpHealthTest(unittest.IsolatedAsyncioTestCase):
    """The endpoint is read in the format of the backend servers."""

    async def test_reports_of_a_backend_server(self) -> None:
        """Warm, cold, and an endpoint that does not exist."""
        behaviour = Behaviour()
        server = BackendServer("ledger-1", Capacity(5), behaviour, 1)
        async with (
            TestServer(server.application()) as served,
            aiohttp.ClientSession() as session,
        ):
            health = HttpHealth(str(served.make_url("/health")), session)
            self.assertIs(await health.async_is_warm(), False)
            behaviour.reported_warm = True
            self.assertIs(await health.async_is_warm(), True)
            missing = HttpHealth(str(served.make_url("/none")), session)
            self.assertIsNone(await missing.async_is_warm())

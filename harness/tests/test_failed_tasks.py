"""Tests of real processes in which a task fails."""

import tempfile
import unittest
from pathlib import Path
from typing import Final

from stand_ins.platform_fleet import PlatformFleet, RoleProcess, async_wait_until

# The first run of each task fails, the directory's after it has listed the store.
_FAIL_ONCE: Final = """
from pomelotrail_balancer.flow_balancing import FlowBalancer
from pomelotrail_companion.server_proxy import ServerProxy
from pomelotrail_core.directory import DirectoryFollower
from pomelotrail_core.event_log import EventLog

def fail_once(owner, name):
    original = getattr(owner, name)
    failed = []
    async def async_fail(self):
        if failed:
            return await original(self)
        failed.append(name)
        raise MemoryError
    setattr(owner, name, async_fail)

fail_once(DirectoryFollower, "_async_watch")
fail_once(FlowBalancer, "async_serve_early_packets")
fail_once(FlowBalancer, "async_ping_suspects")
fail_once(ServerProxy, "async_sweep_regularly")
fail_once(EventLog, "async_flush_regularly")
"""


def _failed_tasks(process: RoleProcess) -> set[str]:
    """Return the tasks that the log of a process names as failed."""
    failed = [line for line in process.lines() if line["event"] == "task_failed"]
    return {line["task"] for line in failed}


class FailedTaskTest(unittest.IsolatedAsyncioTestCase):
    """One balancer and one companion whose tasks fail."""

    async def test_failed_tasks_run_again(self) -> None:
        """Guards against a process that ends because one of its tasks failed."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        fleet = PlatformFleet(Path(directory.name), 1, 1, _FAIL_ONCE)
        self.addAsyncCleanup(fleet.async_stop)
        await fleet.async_start()
        (balancer,), (companion,) = fleet.balancers, fleet.companions
        balancer_tasks = {"directory", "early packets", "pings", "log"}

        async def async_have_failed() -> bool:
            """Return whether all tasks have failed."""
            for process in (balancer, companion):
                self.assertTrue(process.is_running, process.log.read_text())
            companion_tasks = _failed_tasks(companion)
            return _failed_tasks(balancer) == balancer_tasks and companion_tasks == {
                "sweep",
                "log",
            }

        await async_wait_until(async_have_failed)
        answer = await fleet.caller().async_open_and_request(b"one")
        self.assertEqual(answer, b"answer to one")
        metrics = await fleet.async_metrics(balancer)
        self.assertIn("pomelotrail_tasks_failed_total 4", metrics)
        for process in (balancer, companion):
            self.assertTrue(process.is_running)

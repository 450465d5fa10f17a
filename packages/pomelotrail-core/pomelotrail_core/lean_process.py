"""Process setup of a role on the users' VMs: event loop, signals and tasks."""

import asyncio
import gc
import signal
from collections.abc import Awaitable, Callable, Coroutine
from typing import Final

from pomelotrail_core.event_log import EventLog

_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Role:
    """The tasks of a process and the events that its signals set."""

    def __init__(self, log: EventLog) -> None:
        """Initialize with the log for failed tasks."""
        self._log = log
        self._tasks: set[asyncio.Task] = set()
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()
        self.stop_reason = ""

    def run(self, name: str, work: Coroutine) -> None:
        """Start a task; the process stops if it fails."""
        task = asyncio.create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)

    def handle_signals(self) -> None:
        """Set ``stop`` on SIGTERM and SIGINT, and ``reload`` on SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop, number.name)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)

    def _handle_task_end(self, task: asyncio.Task) -> None:
        """Stop the process if a task failed, because other tasks depend on it."""
        if task.cancelled() or task.exception() is None:
            return
        problem = repr(task.exception())
        self._log.write("process", "task_failed", task=task.get_name(), problem=problem)
        self._stop(f"task {task.get_name()} failed")

    def _stop(self, reason: str) -> None:
        """Set ``stop``; the first reason is the one that counts."""
        self.stop_reason = self.stop_reason or reason
        self.stop.set()


def run_role(main: Callable[[], Awaitable[None]]) -> None:
    """Run ``main``; objects created before are excluded from garbage collection."""
    gc.freeze()
    gc.enable()
    asyncio.run(_async_run_then_block_signals(main))


async def _async_run_then_block_signals(main: Callable[[], Awaitable[None]]) -> None:
    """Run ``main``, and leave further signals pending once it has ended.

    When the event loop is closed, its handlers are replaced by the default actions, so
    that a signal during the last milliseconds would look like a crash.
    """
    try:
        await main()
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)

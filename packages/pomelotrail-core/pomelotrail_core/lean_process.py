"""Process setup of a role on the users' VMs: event loop, signals and tasks."""

import asyncio
import gc
import signal
import sys
import time
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, Final

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog

_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
Work = Callable[[], Coroutine[Any, Any, None]]

# The delay before a failed task runs again doubles with each failure. The maximum is
# below the 3 s in which a change must be in force.
INITIAL_RESTART_DELAY: Final = timedelta(milliseconds=100)
MAX_RESTART_DELAY: Final = timedelta(seconds=2)
# A task that has run for this long has recovered; its next failure is a first one.
RECOVERED_AFTER: Final = timedelta(seconds=10)
# Lines about failed callbacks are written at most this often; all are counted.
_CALLBACK_LINE_INTERVAL: Final = timedelta(seconds=1)
# Without memory, each iteration of the event loop would fail at once.
_OUT_OF_MEMORY_PAUSE: Final = timedelta(milliseconds=20)
# Texts of errors may quote what they are about.
_MAX_PROBLEM_LENGTH: Final = 500
_PART: Final = "process"
_MILLISECOND: Final = timedelta(milliseconds=1)


class Role:
    """The tasks of a process and the events that its signals set.

    No failed task ends the process: a new process would fail like this one, and lose
    what this one knows. Only signals do.
    """

    def __init__(self, log: EventLog, clock: Clock, counters: Counters) -> None:
        """Initialize with the log and the counters for failures."""
        self._log = log
        self._clock = clock
        self._counters = counters
        self._tasks: set[asyncio.Task] = set()
        self._next_callback_line: timedelta | None = None
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()
        self.stop_reason = ""

    def run(self, name: str, work: Work) -> None:
        """Start a task and start it again each time that it fails.

        ``work`` creates its coroutine, and each run must begin anew. A task whose
        coroutine returns is done.
        """
        task = asyncio.create_task(self._async_run(name, work), name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def handle_signals(self) -> None:
        """Set ``stop`` on SIGTERM and SIGINT, and ``reload`` on SIGHUP."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop, number.name)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)

    def log_callback_errors(self) -> None:
        """Log and count errors of callbacks, and of tasks that nobody waits for.

        The handlers of the loop and the interpreter would write to standard error,
        which may block.
        """
        asyncio.get_running_loop().set_exception_handler(self._handle_callback_error)
        sys.unraisablehook = self._handle_unraisable

    async def _async_run(self, name: str, work: Work) -> None:
        """Run until the work is done, with a delay after each failure."""
        attempt = 0
        while True:
            recovery = asyncio.create_task(self._async_report_recovery(name, attempt))
            try:
                await work()
                return
            except (Exception, asyncio.CancelledError) as error:
                # A cancellation may also be that of something that the task awaited.
                if asyncio.current_task().cancelling():
                    raise
                problem = error
            finally:
                is_recovered = recovery.done()
                recovery.cancel()
            attempt = 1 if is_recovered else attempt + 1
            try:
                delay = self._record_failure(name, problem, attempt)
            except MemoryError:
                # The counter tells.
                delay = MAX_RESTART_DELAY
            await self._clock.async_sleep(delay)

    def _record_failure(
        self, name: str, problem: BaseException, attempt: int
    ) -> timedelta:
        """Log and count the failure of a task; return the delay before its next run."""
        delay = min(
            INITIAL_RESTART_DELAY * 2 ** min(attempt - 1, 10), MAX_RESTART_DELAY
        )
        self._counters.add("tasks_failed")
        self._log.write(
            _PART,
            "task_failed",
            task=name,
            problem=repr(problem)[:_MAX_PROBLEM_LENGTH],
            place=_innermost_place(problem),
            attempt=attempt,
            retry_ms=delay // _MILLISECOND,
        )
        return delay

    async def _async_report_recovery(self, name: str, failures: int) -> None:
        """Write a line once a task that has failed runs again for a while."""
        await self._clock.async_sleep(RECOVERED_AFTER)
        if failures:
            self._log.write(_PART, "task_recovered", task=name, failures=failures)

    def _handle_callback_error(
        self, _: asyncio.AbstractEventLoop | None, context: dict[str, Any]
    ) -> None:
        """Count the error of a callback, and log it."""
        self._counters.add("callbacks_failed")
        try:
            self._log_callback_error(context)
        except MemoryError:
            # The counter tells.
            return

    def _handle_unraisable(self, unraisable: "sys.UnraisableHookArgs") -> None:
        """Count and log an error that has no caller, such as that of a finalizer."""
        context = {"message": unraisable.err_msg, "exception": unraisable.exc_value}
        self._handle_callback_error(None, context)

    def _log_callback_error(self, context: dict[str, Any]) -> None:
        """Log the error of a callback, unless one was logged just now."""
        now = self._clock.monotonic()
        if self._next_callback_line is not None and now < self._next_callback_line:
            return
        self._next_callback_line = now + _CALLBACK_LINE_INTERVAL
        error = context.get("exception")
        self._log.write(
            _PART,
            "callback_failed",
            problem=repr(error)[:_MAX_PROBLEM_LENGTH] if error is not None else "",
            place=_innermost_place(error),
            message=str(context.get("message") or ""),
            failures=self._counters.value("callbacks_failed"),
        )

    def _stop(self, reason: str) -> None:
        """Set ``stop``; the first reason is the one that counts."""
        self.stop_reason = self.stop_reason or reason
        self.stop.set()


def _innermost_place(error: BaseException | None) -> str:
    """Return the file and line that raised an error."""
    traceback = error.__traceback__ if error is not None else None
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return ""
    file_name = traceback.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{file_name}:{traceback.tb_lineno}"


def run_role(main: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run ``main``; objects created before are excluded from garbage collection."""
    gc.freeze()
    gc.enable()
    with asyncio.Runner() as runner:
        _run_until_done(runner.get_loop(), _async_run_then_block_signals(main))


def _run_until_done(
    loop: asyncio.AbstractEventLoop, main: Coroutine[Any, Any, None]
) -> None:
    """Run a coroutine, also while the event loop itself lacks memory.

    The loop ends with ``MemoryError`` when there is none for the list of events or for
    the report about a callback. What it was about to do is done when it runs again.
    """
    task = loop.create_task(main)
    while True:
        try:
            loop.run_until_complete(task)
        except MemoryError as error:
            if task.done():
                raise
            time.sleep(_OUT_OF_MEMORY_PAUSE.total_seconds())
            loop.call_exception_handler({"message": "event loop", "exception": error})
        else:
            return


async def _async_run_then_block_signals(
    main: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Run ``main``, and leave further signals pending once it has ended.

    When the event loop is closed, its handlers are replaced by the default actions, so
    that a signal during the last milliseconds would look like a crash.
    """
    try:
        await main()
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, _SIGNALS)

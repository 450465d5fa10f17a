"""Process setup of a program: event loop and signals."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Final

import uvloop

from pomelotrail_core.command_line.const import EXIT_FAILED, EXIT_OK
from pomelotrail_core.logs import get_logger
from pomelotrail_core.standard_streams import discard_standard_output
from pomelotrail_core.starting import StartError

_LOGGER = get_logger("process")

_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
_HANDLED_SIGNALS: Final = (*_STOP_SIGNALS, signal.SIGHUP)

StopEvent = asyncio.Event
ProcessMain = Callable[[StopEvent], Awaitable[None]]


def run_process(main: ProcessMain) -> int:
    """Run ``main`` on uvloop and return the exit code.

    SIGTERM and SIGINT set its event, and SIGHUP has no effect. A start that fails
    leaves one line in the log.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        uvloop.run(_async_run(main))
    except StartError as error:
        _LOGGER.error("The start failed: %s", error)
        return EXIT_FAILED
    return EXIT_OK


async def _async_run(main: ProcessMain) -> None:
    """Install the signal handlers and run ``main``.

    The loop would reset its own handlers to the default actions when it closes, and a
    second signal at that moment would end the process with another exit code.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in _STOP_SIGNALS:
        signal.signal(number, lambda *_: loop.call_soon_threadsafe(stop.set))
    signal.signal(signal.SIGHUP, lambda *_: loop.call_soon_threadsafe(_log_hangup))
    try:
        await main(stop)
    finally:
        for number in _HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)


def _log_hangup() -> None:
    """Log that SIGHUP has no effect."""
    _LOGGER.info("SIGHUP has no effect; settings are read at the start")


def announce_ready(name: str) -> None:
    """Print the line that tells the parent process that this one is ready.

    A process whose standard output is broken or full serves without the line.
    """
    try:
        print(f"ready {name}", flush=True)
    except OSError as error:
        _LOGGER.warning(
            "Ready, but standard output refused the line that says so (%s); check "
            "what it is connected to",
            error,
        )
        discard_standard_output()

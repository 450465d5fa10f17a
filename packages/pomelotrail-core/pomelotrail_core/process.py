"""Process setup of a program: event loop and signals."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import uvloop

StopEvent = asyncio.Event
ProcessMain = Callable[[StopEvent], Awaitable[None]]


def run_process(main: ProcessMain) -> None:
    """Run ``main`` on uvloop; SIGTERM and SIGINT set its event."""
    uvloop.run(_async_run(main))


async def _async_run(main: ProcessMain) -> None:
    """Install the signal handlers and run ``main``."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await main(stop)


def announce_ready(name: str) -> None:
    """Print the line that tells the parent process that this one is ready."""
    print(f"ready {name}", flush=True)

"""The frame of a program: event loop, signals and exit codes."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import uvloop

StopEvent = asyncio.Event
ProcessMain = Callable[[StopEvent], Awaitable[None]]


def run_process(main: ProcessMain) -> None:
    """Run ``main`` on uvloop; its event is set by SIGTERM or SIGINT."""
    uvloop.run(_async_run(main))


async def _async_run(main: ProcessMain) -> None:
    """Install the signal handlers and run."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await main(stop)


def announce_ready(name: str) -> None:
    """Print the line by which whoever started the process knows it serves."""
    print(f"ready {name}", flush=True)

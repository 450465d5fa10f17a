"""Stops a process that is still starting."""

import asyncio
import contextlib
from collections.abc import Coroutine
from typing import Any


async def async_run_unless_stopped(
    start: Coroutine[Any, Any, None], stop: asyncio.Event
) -> bool:
    """Run the start of a process; return False if ``stop`` was set before its end.

    A start waits for what other processes provide, possibly for ever.
    """
    starting = asyncio.create_task(start)
    stopping = asyncio.create_task(stop.wait())
    try:
        await asyncio.wait([starting, stopping], return_when=asyncio.FIRST_COMPLETED)
    finally:
        stopping.cancel()
        if not starting.done():
            starting.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await starting
    if starting.cancelled():
        return False
    starting.result()
    return True

"""Waits for an event, but no longer than a deadline."""

import asyncio
from datetime import timedelta

from pomelotrail_core.clock import Clock


async def async_wait_until(
    event: asyncio.Event, deadline: timedelta | None, clock: Clock
) -> bool:
    """Return True once ``event`` is set, or False at the monotonic deadline."""
    if event.is_set():
        return True
    if deadline is None:
        return await event.wait()
    waiting = asyncio.ensure_future(event.wait())
    sleeping = asyncio.ensure_future(
        clock.async_sleep(max(timedelta(), deadline - clock.monotonic()))
    )
    try:
        await asyncio.wait({waiting, sleeping}, return_when="FIRST_COMPLETED")
    finally:
        waiting.cancel()
        sleeping.cancel()
    return event.is_set()

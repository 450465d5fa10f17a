"""Waits for an event until a deadline."""

import asyncio
from datetime import timedelta

from pomelotrail_core.clock import Clock


async def async_wait_for_event(
    event: asyncio.Event, deadline: timedelta | None, clock: Clock
) -> bool:
    """Return True once ``event`` is set, or False at the monotonic deadline."""
    if event.is_set():
        return True
    if deadline is None:
        return await event.wait()
    event_task = asyncio.ensure_future(event.wait())
    timer_task = asyncio.ensure_future(
        clock.async_sleep(max(timedelta(), deadline - clock.monotonic()))
    )
    try:
        await asyncio.wait({event_task, timer_task}, return_when="FIRST_COMPLETED")
    finally:
        event_task.cancel()
        timer_task.cancel()
    return event.is_set()

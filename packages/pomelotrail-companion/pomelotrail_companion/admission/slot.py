"""Slots that requests occupy while the backend server processes them."""

import contextlib
from collections.abc import AsyncIterator

from .class_state import ScheduledRequest
from .messages import WorkResult
from .scheduler import Scheduler


class Slot:
    """One occupied slot that is freed exactly once."""

    def __init__(self, scheduler: Scheduler, request: ScheduledRequest) -> None:
        """Initialize the slot in which ``request`` was started."""
        self._scheduler = scheduler
        self._request = request
        self._is_free = False

    def record_response_head(self, result: WorkResult) -> None:
        """Report the head of the answer to the scheduler."""
        if not self._is_free:
            self._scheduler.record_response_head(self._request, result)

    def free(self, result: WorkResult) -> None:
        """Free the slot; further calls have no effect."""
        if self._is_free:
            return
        self._is_free = True
        self._scheduler.end(self._request, result)


class SlotBody(AsyncIterator[bytes]):
    """A body whose slot is freed at its end, or when it is discarded unread.

    This is not a generator, because closing a generator that was never started
    skips its clean-up.
    """

    def __init__(self, body: AsyncIterator[bytes], slot: Slot) -> None:
        """Initialize the body with the slot to free."""
        self._body = body
        self._slot = slot

    async def __anext__(self) -> bytes:
        """Return the next chunk, and free the slot after the last one."""
        try:
            return await anext(self._body)
        except StopAsyncIteration:
            self._slot.free(WorkResult.COMPLETED)
            raise
        except BaseException:
            self._slot.free(WorkResult.CANCELLED)
            raise

    async def aclose(self) -> None:
        """Close the body before its end, which cancels the work."""
        try:
            await async_close(self._body)
        finally:
            self._slot.free(WorkResult.CANCELLED)

    def __del__(self) -> None:
        """Free the slot of a body that was not closed."""
        with contextlib.suppress(Exception):
            self._slot.free(WorkResult.CANCELLED)


async def async_close(body: AsyncIterator[bytes]) -> None:
    """Close a body if it can be closed."""
    close = getattr(body, "aclose", None)
    if close is not None:
        await close()

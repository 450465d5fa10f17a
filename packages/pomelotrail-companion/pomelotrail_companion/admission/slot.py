"""The slot that a request holds while the backend server works on it."""

import contextlib
from collections.abc import AsyncIterator

from .class_state import ScheduledRequest
from .messages import WorkResult
from .scheduler import Scheduler


class Slot:
    """One busy slot, which is freed once."""

    def __init__(self, scheduler: Scheduler, request: ScheduledRequest) -> None:
        """Hold the slot in which ``request`` was started."""
        self._scheduler = scheduler
        self._request = request
        self._is_free = False

    def learn_head(self, result: WorkResult) -> None:
        """Report the head of the answer."""
        if not self._is_free:
            self._scheduler.learn_head(self._request, result)

    def free(self, result: WorkResult) -> None:
        """Free the slot; later calls do nothing."""
        if self._is_free:
            return
        self._is_free = True
        self._scheduler.end(self._request, result)


class SlotBody(AsyncIterator[bytes]):
    """A body whose slot is freed at its end, or when nobody reads it.

    It is no generator, because closing a generator that was never started
    skips its clean-up.
    """

    def __init__(self, body: AsyncIterator[bytes], slot: Slot) -> None:
        """Pass ``body`` through."""
        self._body = body
        self._slot = slot

    async def __anext__(self) -> bytes:
        """Return the next piece, and free the slot after the last."""
        try:
            return await anext(self._body)
        except StopAsyncIteration:
            self._slot.free(WorkResult.COMPLETED)
            raise
        except BaseException:
            self._slot.free(WorkResult.CANCELLED)
            raise

    async def aclose(self) -> None:
        """Close the body early, which cancels the work."""
        try:
            await async_close(self._body)
        finally:
            self._slot.free(WorkResult.CANCELLED)

    def __del__(self) -> None:
        """Free the slot of a body that nobody has closed."""
        with contextlib.suppress(Exception):
            self._slot.free(WorkResult.CANCELLED)


async def async_close(body: AsyncIterator[bytes]) -> None:
    """Close a body if it can be closed."""
    close = getattr(body, "aclose", None)
    if close is not None:
        await close()

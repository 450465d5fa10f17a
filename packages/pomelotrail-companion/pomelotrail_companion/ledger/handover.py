"""Hands a large answer to the caller that started the request, as it arrives."""

import asyncio
from collections.abc import AsyncIterator, Sequence

from pomelotrail_companion.requests import Answer, AnswerBroken, Header

from .const import PIPE_PIECES


class Handover:
    """A bounded pipe from a running request to the caller that started it.

    ``ready`` is set when there is something to tell the caller: the pipe has
    been opened, or the request has settled without it.
    """

    def __init__(self) -> None:
        """Start closed."""
        self.ready = asyncio.Event()
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue(PIPE_PIECES)
        self._head: Answer | None = None
        self._is_abandoned = asyncio.Event()
        self._is_broken = False

    @property
    def answer(self) -> Answer | None:
        """Return the answer once the pipe is open, else None."""
        return self._head

    def open(self, status: int, headers: tuple[Header, ...]) -> None:
        """Let the caller begin to read."""
        self._head = Answer(status, headers, _HandedBody(self))
        self.ready.set()

    def abandon(self) -> None:
        """Let the request run on without a reader."""
        self._is_abandoned.set()

    async def async_put(self, pieces: Sequence[bytes]) -> None:
        """Wait until the reader takes the pieces or has gone."""
        for piece in pieces:
            await self._async_put(piece)

    async def async_end(self, *, is_whole: bool) -> None:
        """End the answer; the reader of a broken one gets ``AnswerBroken``."""
        self._is_broken = not is_whole
        self.ready.set()
        if self._head is not None:
            await self._async_put(None)

    async def _async_put(self, piece: bytes | None) -> None:
        """Put one piece, unless the reader goes away."""
        if self._is_abandoned.is_set():
            return
        putting = asyncio.ensure_future(self._queue.put(piece))
        leaving = asyncio.ensure_future(self._is_abandoned.wait())
        try:
            await asyncio.wait({putting, leaving}, return_when="FIRST_COMPLETED")
        finally:
            putting.cancel()
            leaving.cancel()

    async def async_next(self) -> bytes:
        """Return the next piece; raises ``StopAsyncIteration`` after the last."""
        piece = await self._queue.get()
        if piece is not None:
            return piece
        if self._is_broken:
            raise AnswerBroken("the backend server broke off its answer")
        raise StopAsyncIteration


class _HandedBody(AsyncIterator[bytes]):
    """The body of a handed over answer; closing it unread abandons it too."""

    def __init__(self, handover: Handover) -> None:
        """Read from a handover."""
        self._handover = handover

    async def __anext__(self) -> bytes:
        """Return the next piece."""
        return await self._handover.async_next()

    async def aclose(self) -> None:
        """Let the request run on without a reader."""
        self._handover.abandon()

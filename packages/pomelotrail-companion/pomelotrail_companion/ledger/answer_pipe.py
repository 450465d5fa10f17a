"""Streams a large answer to the caller that started the request."""

import asyncio
from collections.abc import AsyncIterator, Sequence

from pomelotrail_companion.requests import Answer, AnswerBroken, Header

from .const import MAX_PIPE_CHUNKS


class AnswerPipe:
    """Bounded pipe from a running request to the caller that started it.

    ``ready`` is set when the caller can be answered: the pipe has been opened, or
    the request has ended without opening it.
    """

    def __init__(self) -> None:
        """Initialize a pipe that is not open yet."""
        self.ready = asyncio.Event()
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue(MAX_PIPE_CHUNKS)
        self._head: Answer | None = None
        self._reader_detached = asyncio.Event()
        self._is_broken = False

    @property
    def answer(self) -> Answer | None:
        """Return the answer if the pipe is open, else None."""
        return self._head

    def open(self, status: int, headers: tuple[Header, ...]) -> None:
        """Open the pipe, so that the caller can read the answer."""
        self._head = Answer(status, headers, _PipedBody(self))
        self.ready.set()

    def detach_reader(self) -> None:
        """Detach the reader; the request continues without it."""
        self._reader_detached.set()

    async def async_put(self, chunks: Sequence[bytes]) -> None:
        """Put chunks into the pipe; return at once if the reader has detached."""
        for chunk in chunks:
            await self._async_put(chunk)

    async def async_end(self, *, is_complete: bool) -> None:
        """End the answer; an incomplete one raises ``AnswerBroken`` in the reader."""
        self._is_broken = not is_complete
        self.ready.set()
        if self._head is not None:
            await self._async_put(None)

    async def _async_put(self, chunk: bytes | None) -> None:
        """Put one chunk, unless the reader detaches first."""
        if self._reader_detached.is_set():
            return
        put_task = asyncio.ensure_future(self._queue.put(chunk))
        detach_task = asyncio.ensure_future(self._reader_detached.wait())
        try:
            await asyncio.wait({put_task, detach_task}, return_when="FIRST_COMPLETED")
        finally:
            put_task.cancel()
            detach_task.cancel()

    async def async_read_chunk(self) -> bytes:
        """Return the next chunk; raises ``StopAsyncIteration`` after the last."""
        chunk = await self._queue.get()
        if chunk is not None:
            return chunk
        if self._is_broken:
            raise AnswerBroken("the backend server broke off its answer")
        raise StopAsyncIteration


class _PipedBody(AsyncIterator[bytes]):
    """Body of a piped answer; closing it early detaches the reader."""

    def __init__(self, pipe: AnswerPipe) -> None:
        """Initialize with the pipe to read from."""
        self._pipe = pipe

    async def __anext__(self) -> bytes:
        """Return the next chunk."""
        return await self._pipe.async_read_chunk()

    async def aclose(self) -> None:
        """Detach the reader; the request continues without it."""
        self._pipe.detach_reader()

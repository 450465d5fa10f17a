"""Buffers the beginning of a body before its request starts.

A short body is complete before its request runs, so a caller that disconnects while
sending it can't leave a request half done. A longer body is streamed after the
buffered part.
"""

import hashlib
from collections.abc import AsyncIterator

import attrs

from .const import FINGERPRINT_BYTES, MAX_BUFFERED_BODY_BYTES


@attrs.define
class BufferedBody:
    """Body whose beginning has been read into memory."""

    prefix: bytes
    is_complete: bool
    remainder: AsyncIterator[bytes]
    overflow: bytes = b""

    async def async_read(self) -> AsyncIterator[bytes]:
        """Yield the whole body, including the buffered part."""
        if self.prefix:
            yield self.prefix
        if self.overflow:
            yield self.overflow
        if self.is_complete:
            return
        async for chunk in self.remainder:
            yield chunk


async def async_buffer_body(
    body: AsyncIterator[bytes], size: int = MAX_BUFFERED_BODY_BYTES
) -> BufferedBody:
    """Buffer up to ``size`` bytes of a body, or all of it."""
    buffered = bytearray()
    async for chunk in body:
        buffered += chunk
        if len(buffered) > size:
            return BufferedBody(
                bytes(buffered[:size]), False, body, bytes(buffered[size:])
            )
    return BufferedBody(bytes(buffered), True, body)


def compute_fingerprint(method: str, path: str, buffered: BufferedBody) -> bytes:
    """Return a digest that distinguishes different requests under one ticket."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode(), buffered.prefix):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    digest.update(bytes([buffered.is_complete]))
    return digest.digest()

"""Reads the beginning of a body before its request may start.

A short body is whole before anything runs, so a caller that goes away while it
sends leaves nothing half done. Longer bodies stream on after the part held.
"""

import hashlib
from collections.abc import AsyncIterator

import attrs

from .const import FINGERPRINT_BYTES, HELD_BODY_BYTES


@attrs.define
class HeldBody:
    """A body of which the beginning has been read."""

    beginning: bytes
    is_whole: bool
    rest: AsyncIterator[bytes]
    surplus: bytes = b""

    async def async_read(self) -> AsyncIterator[bytes]:
        """Yield the whole body, the beginning included."""
        if self.beginning:
            yield self.beginning
        if self.surplus:
            yield self.surplus
        if self.is_whole:
            return
        async for piece in self.rest:
            yield piece


async def async_hold(
    body: AsyncIterator[bytes], size: int = HELD_BODY_BYTES
) -> HeldBody:
    """Read up to ``size`` bytes of a body, or all of it."""
    held = bytearray()
    async for piece in body:
        held += piece
        if len(held) > size:
            return HeldBody(bytes(held[:size]), False, body, bytes(held[size:]))
    return HeldBody(bytes(held), True, body)


def fingerprint(method: str, path: str, held: HeldBody) -> bytes:
    """Return a digest that tells requests under one ticket apart."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode(), held.beginning):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    digest.update(bytes([held.is_whole]))
    return digest.digest()

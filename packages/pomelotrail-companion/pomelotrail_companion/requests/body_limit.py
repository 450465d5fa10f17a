"""Holds the bodies of requests to the limit of their class of work."""

from collections.abc import AsyncIterator

from .errors import BodyTooLarge
from .messages import Request


def is_declared_too_large(request: Request, limit: int) -> bool:
    """Tell whether the declared length of a body is over ``limit`` bytes."""
    declared = request.header("content-length")
    return declared is not None and declared.isdecimal() and int(declared) > limit


async def async_limited(body: AsyncIterator[bytes], limit: int) -> AsyncIterator[bytes]:
    """Pass a body through; ``BodyTooLarge`` is raised over ``limit`` bytes."""
    size = 0
    async for piece in body:
        size += len(piece)
        if size > limit:
            raise BodyTooLarge(f"the body has more than {limit} bytes")
        yield piece

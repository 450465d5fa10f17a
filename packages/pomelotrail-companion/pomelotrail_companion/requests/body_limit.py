"""Enforces the body size limit of the class of work of a request."""

from collections.abc import AsyncIterator

from .errors import BodyTooLarge
from .messages import Request


def is_declared_too_large(request: Request, limit: int) -> bool:
    """Return whether the declared length of a body exceeds ``limit`` bytes."""
    declared = request.header("content-length")
    return declared is not None and declared.isdecimal() and int(declared) > limit


async def async_limit_body(
    body: AsyncIterator[bytes], limit: int
) -> AsyncIterator[bytes]:
    """Yield a body; raise ``BodyTooLarge`` if it exceeds ``limit`` bytes."""
    size = 0
    async for chunk in body:
        size += len(chunk)
        if size > limit:
            raise BodyTooLarge(f"the body has more than {limit} bytes")
        yield chunk

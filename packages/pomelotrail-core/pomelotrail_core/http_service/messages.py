"""Replies of HTTP handlers."""

from collections.abc import Awaitable, Callable

import msgspec


class HttpReply(msgspec.Struct, frozen=True):
    """The reply to one request."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Handler = Callable[[], Awaitable[HttpReply]]

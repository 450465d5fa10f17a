"""One connection of an HTTP client."""

import asyncio
from collections import deque
from collections.abc import Mapping
from typing import Final

import httptools

from .const import IDLE_TIMEOUT, MAX_PENDING_REQUESTS, MAX_REQUEST_BYTES, READ_BYTES
from .errors import HandlerError
from .messages import Handler, HttpReply

_REASONS: Final = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


async def async_serve_connection(
    handlers: Mapping[str, Handler],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer requests until the connection closes or fails.

    A handler that fails raises ``HandlerError``.
    """
    requests = _RequestCollector()
    try:
        while requests.keeps_alive:
            async with asyncio.timeout(IDLE_TIMEOUT.total_seconds()):
                data = await reader.read(READ_BYTES)
            if not data:
                return
            requests.feed(data)
            while requests.complete:
                await _async_send_reply(handlers, requests.complete.popleft(), writer)
    except (OSError, TimeoutError, httptools.HttpParserError):
        # The client disconnected, timed out or sent invalid HTTP; no reply is possible.
        return


class _RequestCollector:
    """Collects the requests of a connection; the parser calls the ``on_`` methods."""

    def __init__(self) -> None:
        """Start without a partial request."""
        self.complete: deque[tuple[str, bool]] = deque()
        self.keeps_alive = True
        self._target = b""
        self._incomplete_bytes = 0
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise an error for invalid HTTP.

        A request that doesn't end counts as invalid before it takes all memory.
        """
        self._incomplete_bytes += len(data)
        self._parser.feed_data(data)
        if self._incomplete_bytes > MAX_REQUEST_BYTES:
            raise httptools.HttpParserError("request is too large")

    def on_url(self, data: bytes) -> None:
        """Append a part of the request target."""
        self._target += data

    def on_message_complete(self) -> None:
        """Record a complete request: its path, and whether its reply has a body."""
        path = self._target.decode("ascii", "replace").partition("?")[0]
        self._target = b""
        self._incomplete_bytes = 0
        self.complete.append((path, self._parser.get_method() != b"HEAD"))
        is_over_limit = len(self.complete) >= MAX_PENDING_REQUESTS
        self.keeps_alive = self._parser.should_keep_alive() and not is_over_limit


async def _async_send_reply(
    handlers: Mapping[str, Handler],
    request: tuple[str, bool],
    writer: asyncio.StreamWriter,
) -> None:
    """Send the reply to one request."""
    path, has_body = request
    reply = await _async_reply(handlers, path)
    head = (
        f"HTTP/1.1 {reply.status} {_REASONS.get(reply.status, 'Status')}\r\n"
        f"Content-Length: {len(reply.body)}\r\n"
        f"Content-Type: {reply.content_type}\r\n\r\n"
    )
    writer.write(head.encode() + (reply.body if has_body else b""))
    async with asyncio.timeout(IDLE_TIMEOUT.total_seconds()):
        await writer.drain()


async def _async_reply(handlers: Mapping[str, Handler], path: str) -> HttpReply:
    """Return the reply to a request; an error of its handler is not the client's."""
    handler = handlers.get(path)
    if handler is None:
        return HttpReply(404)
    try:
        return await handler()
    except Exception as error:
        raise HandlerError(path, error) from error

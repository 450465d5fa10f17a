"""One connection of an HTTP client."""

import asyncio
from collections import deque
from collections.abc import Mapping
from typing import Final

import httptools

from .const import IDLE_TIMEOUT, MAX_PENDING_REQUESTS, READ_BYTES
from .messages import Handler, HttpReply

_REASONS: Final = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


async def async_serve_connection(
    handlers: Mapping[str, Handler],
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Answer requests until the connection closes or errs."""
    requests = _Requests()
    try:
        while requests.keeps_alive:
            async with asyncio.timeout(IDLE_TIMEOUT.total_seconds()):
                data = await reader.read(READ_BYTES)
            if not data:
                return
            requests.feed(data)
            while requests.complete:
                await _async_answer(handlers, requests.complete.popleft(), writer)
    except (OSError, TimeoutError, httptools.HttpParserError):
        # The peer is gone or speaks something else; there is no one to tell.
        return


class _Requests:
    """Collects the requests of a connection; ``on_...`` are the parser's calls."""

    def __init__(self) -> None:
        """Start between two requests."""
        self.complete: deque[tuple[str, bool]] = deque()
        self.keeps_alive = True
        self._target = b""
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Take bytes; an error is raised for what isn't HTTP."""
        self._parser.feed_data(data)

    def on_url(self, data: bytes) -> None:
        """Take a part of the target."""
        self._target += data

    def on_message_complete(self) -> None:
        """Note a whole request: its path, and whether its answer has a body."""
        path = self._target.decode("ascii", "replace").partition("?")[0]
        self._target = b""
        self.complete.append((path, self._parser.get_method() != b"HEAD"))
        is_flood = len(self.complete) >= MAX_PENDING_REQUESTS
        self.keeps_alive = self._parser.should_keep_alive() and not is_flood


async def _async_answer(
    handlers: Mapping[str, Handler],
    request: tuple[str, bool],
    writer: asyncio.StreamWriter,
) -> None:
    """Send the answer to one request."""
    path, has_body = request
    handler = handlers.get(path)
    reply = await handler() if handler is not None else HttpReply(404)
    head = (
        f"HTTP/1.1 {reply.status} {_REASONS.get(reply.status, 'Status')}\r\n"
        f"Content-Length: {len(reply.body)}\r\n"
        f"Content-Type: {reply.content_type}\r\n\r\n"
    )
    writer.write(head.encode() + (reply.body if has_body else b""))
    await writer.drain()

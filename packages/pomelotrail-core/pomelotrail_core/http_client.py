"""A client's HTTP/1.1 connection for calls without a body."""

import asyncio
from typing import Final

import httptools
import msgspec

from pomelotrail_core.endpoint import Endpoint

_READ_BYTES: Final = 65_536


class HttpError(Exception):
    """An answer that is not HTTP or does not come to its end."""


class HttpAnswer(msgspec.Struct):
    """Status and body of an answer."""

    status: int
    body: bytes


class HttpConnection:
    """One connection, for one call at a time::

        connection = await HttpConnection.async_open(endpoint)
        answer = await connection.async_get("/items?after=7")

    After an error or a timeout the connection must be closed, since the rest of an
    answer may still come.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ) -> None:
        """Speak over an open stream."""
        self._reader = reader
        self._writer = writer
        self._host = host
        self._keeps_alive = True

    @classmethod
    async def async_open(cls, endpoint: Endpoint) -> "HttpConnection":
        """Connect to a server."""
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        return cls(reader, writer, str(endpoint))

    @property
    def is_finished(self) -> bool:
        """Tell whether the connection can't carry another call."""
        return not self._keeps_alive

    async def async_get(self, target: str) -> HttpAnswer:
        """Send a request and read its answer whole."""
        head = f"GET {target} HTTP/1.1\r\nHost: {self._host}\r\n\r\n"
        self._writer.write(head.encode("ascii"))
        await self._writer.drain()
        answer = _Answer()
        while not answer.is_complete:
            data = await self._reader.read(_READ_BYTES)
            if not data:
                raise HttpError("connection closed before the end of the answer")
            answer.feed(data)
        self._keeps_alive = answer.keeps_alive
        return HttpAnswer(answer.status, b"".join(answer.parts))

    def close(self) -> None:
        """Close without waiting."""
        self._writer.transport.abort()


class _Answer:
    """Collects one answer; ``on_...`` are the parser's calls."""

    def __init__(self) -> None:
        """Start before the first byte."""
        self.parts: list[bytes] = []
        self.status = 0
        self.is_complete = False
        self.keeps_alive = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Take bytes; an error is raised for what isn't HTTP."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpError(f"not an HTTP answer: {error}") from error

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self.parts.append(data)

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        self.status = self._parser.get_status_code()
        self.keeps_alive = self._parser.should_keep_alive()
        self.is_complete = True

"""An HTTP/1.1 client connection for requests without a body."""

import asyncio
import socket
from collections.abc import Callable
from datetime import timedelta
from typing import Final

import httptools
import msgspec

from pomelotrail_core.endpoint import Endpoint

_READ_BYTES: Final = 65_536
# The kernel probes a connection that has been idle for _KEEPALIVE_IDLE, with
# _KEEPALIVE_INTERVAL between probes. The connection fails if a probe or a request isn't
# acknowledged for _ACKNOWLEDGEMENT_TIMEOUT.
_KEEPALIVE_IDLE: Final = timedelta(seconds=1)
_KEEPALIVE_INTERVAL: Final = timedelta(seconds=1)
_KEEPALIVE_PROBES: Final = 2
_ACKNOWLEDGEMENT_TIMEOUT: Final = (
    _KEEPALIVE_IDLE + _KEEPALIVE_PROBES * _KEEPALIVE_INTERVAL
)


# A head has a status line and a few fields. It is checked for each part that arrives.
MAX_HEAD_BYTES: Final = 65_536
# A larger response is given up, since its content takes several times as much memory.
MAX_RESPONSE_BYTES: Final = 8_388_608


class HttpError(Exception):
    """A response that is not valid HTTP or is incomplete."""


class ResponseTooLargeError(HttpError):
    """A response that is larger than memory allows."""


class HttpResponse(msgspec.Struct):
    """The status, body and header fields of a response; field names in lower case."""

    status: int
    body: bytearray
    fields: dict[str, str]


class HttpConnection:
    """A connection for one request at a time::

        connection = await HttpConnection.async_open(endpoint)
        response = await connection.async_get("/items?after=7")

    After an error or a timeout the connection must be closed, because the rest of a
    response may still arrive. A connection that goes silent while a request waits for
    its response fails after three seconds.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str
    ) -> None:
        """Initialize with an open stream."""
        self._reader = reader
        self._writer = writer
        self._host = host
        self._keeps_alive = True

    @property
    def transport_socket(self) -> socket.socket:
        """Return the socket of the stream."""
        return self._writer.get_extra_info("socket")

    @property
    def is_finished(self) -> bool:
        """Return whether the connection can't be used for another request.

        Servers close connections that are idle for some time.
        """
        is_closed = self._reader.at_eof() or self._writer.is_closing()
        return is_closed or not self._keeps_alive

    @classmethod
    async def async_open(cls, endpoint: Endpoint) -> "HttpConnection":
        """Connect to a server."""
        reader, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        connection = cls(reader, writer, str(endpoint))
        _enable_keepalive(connection.transport_socket)
        return connection

    async def async_get(
        self, target: str, on_data: Callable[[], None] = lambda: None
    ) -> HttpResponse:
        """Send a GET request and return the complete response.

        Raises ``HttpError`` if it is not valid or exceeds the limits of its size.
        ``on_data`` is called for each part of the response that arrives.
        """
        head = f"GET {target} HTTP/1.1\r\nHost: {self._host}\r\n\r\n"
        self._writer.write(head.encode("ascii"))
        await self._writer.drain()
        response = _ResponseParser()
        try:
            while not response.is_complete:
                data = await self._reader.read(_READ_BYTES)
                if not data:
                    raise HttpError("connection closed before the end of the response")
                response.feed(data)
                on_data()
        finally:
            response.release_parser()
        self._keeps_alive = response.keeps_alive
        return HttpResponse(response.status, response.body, response.fields)

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()


def _enable_keepalive(connection: socket.socket) -> None:
    """Let the kernel detect a peer that has gone silent."""
    options = {
        socket.TCP_KEEPIDLE: _KEEPALIVE_IDLE // timedelta(seconds=1),
        socket.TCP_KEEPINTVL: _KEEPALIVE_INTERVAL // timedelta(seconds=1),
        socket.TCP_KEEPCNT: _KEEPALIVE_PROBES,
        socket.TCP_USER_TIMEOUT: _ACKNOWLEDGEMENT_TIMEOUT // timedelta(milliseconds=1),
    }
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in options.items():
        connection.setsockopt(socket.IPPROTO_TCP, option, value)


class _ResponseParser:
    """Parses one response; the ``on_...`` methods are callbacks of the parser."""

    def __init__(self) -> None:
        """Initialize an empty response."""
        self.body = bytearray()
        self.fields: dict[str, str] = {}
        self.status = 0
        self.is_complete = False
        self.keeps_alive = False
        self._size = 0
        self._has_head = False
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes; raise ``HttpError`` if they are not valid HTTP."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise HttpError(f"not an HTTP response: {error}") from error
        self._size += len(data)
        if not self._has_head and self._size > MAX_HEAD_BYTES:
            raise ResponseTooLargeError(f"no end of the head in {self._size} bytes")
        if self._size > MAX_RESPONSE_BYTES and not self.is_complete:
            raise ResponseTooLargeError(f"no end of the response in {self._size} bytes")

    def release_parser(self) -> None:
        """Release the parser, which refers to this object.

        Otherwise the body would stay in memory until the garbage collector runs.
        """
        self._parser = None

    def on_headers_complete(self) -> None:
        """Record that the head is complete."""
        self._has_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field; those after the body have no use."""
        if self._has_head:
            return
        self.fields[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record the status at the end of the response."""
        self.status = self._parser.get_status_code()
        self.keeps_alive = self._parser.should_keep_alive()
        self.is_complete = True

"""Tests of the HTTP client connection."""

import asyncio
import gc
import socket
import unittest
from collections.abc import Iterator
from datetime import timedelta
from typing import Final

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.http_client import (
    MAX_HEAD_BYTES,
    MAX_RESPONSE_BYTES,
    HttpConnection,
    HttpResponse,
    ResponseTooLargeError,
    _ResponseParser,
)

# Operators' limit on the time from the confirmation of a change until it is in force.
_APPLY_LIMIT: Final = timedelta(seconds=3)


class HttpConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Test connections to a server on loopback that says nothing."""

    def setUp(self) -> None:
        """Start to listen."""
        self._server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self._server.close)

    async def test_silent_connection_is_reset_before_a_change_is_overdue(self) -> None:
        """The kernel probes the connection while nothing arrives."""
        _, port = self._server.getsockname()
        connection = await HttpConnection.async_open(Endpoint("127.0.0.1", port))
        self.addCleanup(connection.close)
        options = connection.transport_socket
        self.assertTrue(options.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        idle, interval, probes, unacknowledged_ms = (
            options.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        )
        while_idle = timedelta(seconds=idle + interval * probes)
        self.assertLessEqual(while_idle, _APPLY_LIMIT)
        after_request = timedelta(milliseconds=unacknowledged_ms)
        self.assertTrue(timedelta() < after_request <= _APPLY_LIMIT)


class ResponseSizeTest(unittest.IsolatedAsyncioTestCase):
    """Responses that don't end, and what is kept of those that do."""

    async def async_get(self, parts: Iterator[bytes]) -> HttpResponse:
        """Return the response of a server that sends parts until it is cut off."""

        async def async_serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            """Send all parts."""
            await reader.readuntil(b"\r\n\r\n")
            try:
                for part in parts:
                    writer.write(part)
                    self.sent_bytes += len(part)
                    await writer.drain()
            except ConnectionError:
                return
            finally:
                writer.close()

        self.sent_bytes = 0
        server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        _, port = server.sockets[0].getsockname()
        connection = await HttpConnection.async_open(Endpoint("127.0.0.1", port))
        self.addCleanup(connection.close)
        return await connection.async_get("/")

    async def async_check_too_large(self, head: bytes, part: bytes) -> None:
        """Check that a response without an end is given up."""

        def endless() -> Iterator[bytes]:
            """Return a head and then the same part again and again."""
            yield head
            while True:
                yield part

        with self.assertRaises(ResponseTooLargeError):
            await self.async_get(endless())

    async def test_endless_status_line(self) -> None:
        """Guards against a process that collects a reason until memory ends."""
        await self.async_check_too_large(b"HTTP/1.1 200 ", b"a" * MAX_HEAD_BYTES)

    async def test_endless_header(self) -> None:
        """Guards against a process that collects one field until memory ends."""
        head = b"HTTP/1.1 200 OK\r\nName: "
        await self.async_check_too_large(head, b"a" * MAX_HEAD_BYTES)

    async def test_endless_headers(self) -> None:
        """Guards against a process that collects fields until memory ends."""
        await self.async_check_too_large(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 1_000)

    async def test_endless_chunks(self) -> None:
        """Guards against a process that collects a body until memory ends."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.async_check_too_large(head, b"10000\r\n" + b"a" * 65_536 + b"\r\n")

    async def test_body_without_length(self) -> None:
        """It ends with the connection, or with the limit."""
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        await self.async_check_too_large(head, b"a" * 65_536)

    async def test_large_body(self) -> None:
        """A body below the limit is complete, and gone when nobody refers to it.

        Guards against bodies that stay until the garbage collector runs: 50 of 1 MB
        took 70 MB.
        """
        size = MAX_RESPONSE_BYTES - MAX_HEAD_BYTES
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        response = await self.async_get(iter([head, b"a" * size]))
        self.assertEqual(len(response.body), size)
        parsers = [each for each in gc.get_objects() if type(each) is _ResponseParser]
        self.assertEqual(parsers, [])

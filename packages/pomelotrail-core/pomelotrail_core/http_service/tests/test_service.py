"""Tests of the HTTP service with an HTTP client."""

import asyncio
import unittest

import aiohttp

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.http_service import HttpReply, HttpService
from pomelotrail_core.http_service.const import MAX_REQUEST_BYTES

# More than the buffers of a connection hold.
_PARTS = 200


class HttpServiceTest(unittest.IsolatedAsyncioTestCase):
    """Valid requests over one connection, and invalid ones."""

    async def asyncSetUp(self) -> None:
        """Serve one path."""

        async def async_ready() -> HttpReply:
            """Return a reply with status 200."""
            return HttpReply(200, b"well")

        self.service = HttpService({"/ready": async_ready})
        await self.service.async_start(Endpoint("127.0.0.1", 0))
        self.addAsyncCleanup(self.service.async_stop)
        self.port = self.service.port

    async def test_requests(self) -> None:
        """Known and unknown paths return their status."""
        async with aiohttp.ClientSession() as session:
            for path, status in (("ready", 200), ("other", 404), ("ready?x=1", 200)):
                url = f"http://127.0.0.1:{self.port}/{path}"
                async with session.get(url) as answer:
                    self.assertEqual(answer.status, status)

    async def test_garbage_closes_the_connection(self) -> None:
        """Invalid HTTP closes the connection; the service continues."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"\x00\x01\x02\r\n\r\n")
        await reader.read()
        writer.close()
        await self.test_requests()

    async def test_requests_without_an_end_close_the_connection(self) -> None:
        """Guards against a client that fills the memory of a process."""
        heads = (
            b"GET /",
            b"GET /ready HTTP/1.1\r\nName: ",
            b"POST /ready HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        )
        for head in heads:
            with self.subTest(head):
                _, writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.addCleanup(writer.close)
                writer.write(head)
                with self.assertRaises(ConnectionError):
                    for _ in range(_PARTS):
                        writer.write(b"a" * MAX_REQUEST_BYTES)
                        await writer.drain()
        await self.test_requests()

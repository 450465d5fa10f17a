"""Tests of the HTTP service with an HTTP client."""

import asyncio
import unittest

import aiohttp

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.http_service import HttpReply, HttpService


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

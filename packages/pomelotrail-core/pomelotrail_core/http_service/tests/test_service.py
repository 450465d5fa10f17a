"""Tests of the HTTP service with an HTTP client."""

import asyncio
import errno
import sys
import unittest
from collections.abc import Callable
from unittest import mock

import aiohttp

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.http_service import HttpReply
from pomelotrail_core.http_service.const import MAX_REQUEST_BYTES

from .builders import LoggedService, hold_address

_POLL_INTERVAL_S = 0.01
# More than the buffers of a connection hold.
_PARTS = 200
_CONNECTION_MODULE = "pomelotrail_core.http_service.connection"


async def async_ready() -> HttpReply:
    """Return a reply with status 200."""
    return HttpReply(200, b"well")


async def async_fail() -> HttpReply:
    """Fail as a handler without a descriptor does."""
    raise OSError(errno.EMFILE, "Too many open files")


async def async_wait_until(check: Callable[[], bool]) -> None:
    """Wait until a check returns True."""
    while True:
        if check():
            return
        await asyncio.sleep(_POLL_INTERVAL_S)


class HttpServiceTest(unittest.IsolatedAsyncioTestCase):
    """Valid requests over one connection, and invalid ones."""

    async def asyncSetUp(self) -> None:
        """Serve one path that works and one that fails."""
        self.logged = LoggedService({"/ready": async_ready, "/failing": async_fail})
        await self.async_serve(Endpoint("127.0.0.1", 0))
        await self.async_wait_listening()

    async def async_serve(self, endpoint: Endpoint) -> None:
        """Serve at an address until the end of the test."""
        task = asyncio.create_task(self.logged.service.async_serve(endpoint))
        self.addCleanup(task.cancel)

    async def async_wait_listening(self) -> None:
        """Wait until the service listens."""
        await async_wait_until(lambda: self.logged.service.port > 0)
        self.port = self.logged.service.port

    async def async_wait_event(self, event: str) -> None:
        """Wait until the log has an event."""
        await async_wait_until(lambda: event in self.logged.events())

    async def async_get(self, path: str) -> int:
        """Return the status of a request over a connection of its own."""
        url = f"http://127.0.0.1:{self.port}/{path}"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return answer.status

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

    async def test_failing_handler_closes_the_connection(self) -> None:
        """Guards against a probe that hangs because its handler failed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(b"GET /failing HTTP/1.1\r\nHost: edge-1\r\n\r\n")
        self.assertEqual(await reader.read(), b"")
        await self.async_wait_event("http_request_failed")
        (line,) = self.logged.lines()
        self.assertEqual(line["serves"], "metrics")
        self.assertIn("Too many open files", line["problem"])
        self.assertEqual(self.logged.counters.value("http_requests_failed"), 1)
        self.assertEqual(await self.async_get("ready"), 200)

    async def test_failing_import_is_tried_again(self) -> None:
        """Guards against a process that is never ready after a failed import."""
        sys.modules.pop(_CONNECTION_MODULE, None)
        # None makes the import fail.
        with mock.patch.dict(sys.modules, {_CONNECTION_MODULE: None}):
            request = asyncio.create_task(self.async_get("ready"))
            await self.async_wait_event("listen_failed")
        self.assertEqual(await request, 200)
        self.assertEqual(self.logged.events(), ["listen_failed", "listening"])

    async def test_module_that_is_cut_off(self) -> None:
        """Guards against a log that fills while a module can't be read."""
        sys.modules.pop(_CONNECTION_MODULE, None)
        with mock.patch("builtins.__import__", side_effect=EOFError):
            request = asyncio.create_task(self.async_get("ready"))
            await self.async_wait_event("listen_failed")
        self.assertEqual(await request, 200)
        self.assertEqual(self.logged.events(), ["listen_failed", "listening"])
        self.assertEqual(self.logged.service.port, self.port)

    async def test_accepting_is_tried_again(self) -> None:
        """Guards against a service that doesn't recover from used up descriptors."""
        error = OSError(errno.EMFILE, "Too many open files")
        with mock.patch("socket.socket.accept", side_effect=error):
            request = asyncio.create_task(self.async_get("ready"))
            await self.async_wait_event("listen_failed")
        self.assertEqual(await request, 200)
        self.assertEqual(self.logged.events(), ["listen_failed", "listening"])
        self.assertEqual(self.logged.service.port, self.port)
        self.assertGreater(self.logged.counters.value("http_listen_failures"), 0)

    async def test_address_in_use_is_tried_again(self) -> None:
        """Guards against a process that ends because its address is held."""
        held = hold_address()
        self.addCleanup(held.close)
        address = held.getsockname()
        self.logged = LoggedService({"/ready": async_ready})
        await self.async_serve(Endpoint(*address))
        await self.async_wait_event("listen_failed")
        (line,) = self.logged.lines()
        self.assertEqual(line["address"], "{}:{}".format(*address))
        self.assertEqual(line["serves"], "metrics")
        self.assertIn("in use", line["problem"])
        self.assertIn("free the address", line["remedy"])
        held.close()
        await self.async_wait_listening()
        self.assertEqual(await self.async_get("ready"), 200)
        self.assertEqual(self.logged.events(), ["listen_failed", "listening"])

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

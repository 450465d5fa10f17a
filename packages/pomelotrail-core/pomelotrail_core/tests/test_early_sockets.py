"""Tests of sockets that are bound before the program is loaded."""

import asyncio
import socket
import unittest

from pomelotrail_core.datagram_callback import open_datagram_socket
from pomelotrail_core.early_sockets import bind_datagrams, bind_early
from pomelotrail_core.endpoint import Endpoint


class EarlySocketsTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams that arrive between binding and reading."""

    def setUp(self) -> None:
        """Find an unused address."""
        found = bind_datagrams(("127.0.0.1", 0))
        self.address = found.getsockname()
        found.close()

    async def test_datagram_is_buffered_until_it_is_read(self) -> None:
        """A datagram sent before the socket is opened is read afterwards."""
        bind_early("{}:{}".format(*self.address))
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        sender.sendto(b"early", self.address)
        arrived: asyncio.Queue[bytes] = asyncio.Queue()
        endpoint = Endpoint(*self.address)
        reader = open_datagram_socket(
            endpoint, lambda data, _: arrived.put_nowait(data)
        )
        self.addCleanup(reader.close)
        self.assertEqual(await arrived.get(), b"early")

    async def test_address_in_use(self) -> None:
        """Binding to an address in use raises an error."""
        taken = bind_datagrams(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        with self.assertRaises(OSError):
            bind_early("{}:{}".format(*taken.getsockname()))

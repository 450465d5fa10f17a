"""Tests of sockets that are bound before their reader exists."""

import asyncio
import socket
import unittest

from pomelotrail_core.datagram_callback import open_datagrams
from pomelotrail_core.early_sockets import bind_datagrams, bind_early
from pomelotrail_core.endpoint import Endpoint


class EarlySocketsTest(unittest.IsolatedAsyncioTestCase):
    """What arrives between binding and reading."""

    def setUp(self) -> None:
        """Find an address that nobody uses."""
        found = bind_datagrams(("127.0.0.1", 0))
        self.address = found.getsockname()
        found.close()

    async def test_datagram_waits_for_its_reader(self) -> None:
        """It is read once the program asks for the address."""
        bind_early("{}:{}".format(*self.address))
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(sender.close)
        sender.sendto(b"early", self.address)
        arrived: asyncio.Queue[bytes] = asyncio.Queue()
        endpoint = Endpoint(*self.address)
        reader = open_datagrams(endpoint, lambda data, _: arrived.put_nowait(data))
        self.addCleanup(reader.close)
        self.assertEqual(await arrived.get(), b"early")

    async def test_address_in_use(self) -> None:
        """The error says so, and the socket isn't kept."""
        taken = bind_datagrams(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        with self.assertRaises(OSError):
            bind_early("{}:{}".format(*taken.getsockname()))

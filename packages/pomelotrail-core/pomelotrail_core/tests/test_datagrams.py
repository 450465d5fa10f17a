"""Tests of the UDP socket."""

import asyncio
import unittest

from pomelotrail_core.datagrams import DatagramSocket

_LOOPBACK = ("127.0.0.1", 0)
_BURST = 100


class _Keeper(asyncio.DatagramProtocol):
    """Keeps what arrives and tells when there is enough."""

    def __init__(self, expected: int) -> None:
        """Wait for ``expected`` datagrams."""
        self.received: list[bytes] = []
        self.done = asyncio.Event()
        self._expected = expected

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Keep one datagram."""
        self.received.append(data)
        if len(self.received) >= self._expected:
            self.done.set()


class DatagramSocketTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams arrive in order, more than one wake brings."""

    async def test_burst_arrives(self) -> None:
        """What is left after one wake is read at the next."""
        keeper = _Keeper(_BURST)
        receiver = DatagramSocket(keeper, _LOOPBACK)
        sender = DatagramSocket(asyncio.DatagramProtocol(), _LOOPBACK)
        self.addCleanup(receiver.close)
        self.addCleanup(sender.close)
        for number in range(_BURST):
            sender.sendto(bytes([number]), receiver.get_extra_info("sockname"))
        await asyncio.wait_for(keeper.done.wait(), 30)
        self.assertEqual(keeper.received, [bytes([n]) for n in range(_BURST)])

    async def test_send_that_fails_is_counted(self) -> None:
        """A datagram that is too large raises nothing."""
        sender = DatagramSocket(asyncio.DatagramProtocol(), _LOOPBACK)
        self.addCleanup(sender.close)
        sender.sendto(bytes(70_000), ("127.0.0.1", 9))
        self.assertEqual(sender.unsent, 1)

    async def test_close_stops_reading(self) -> None:
        """Closing twice is allowed."""
        closed = DatagramSocket(asyncio.DatagramProtocol(), _LOOPBACK)
        closed.close()
        closed.close()
        self.assertTrue(closed.is_closing())

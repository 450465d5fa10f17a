"""Tests of the UDP socket."""

import asyncio
import unittest

from pomelotrail_core.datagrams import DatagramSocket

_LOOPBACK = ("127.0.0.1", 0)
_BURST = 100


class _RecordingProtocol(asyncio.DatagramProtocol):
    """Records datagrams and sets an event when the expected number arrived."""

    def __init__(self, expected: int) -> None:
        """Initialize with the expected number of datagrams."""
        self.received: list[bytes] = []
        self.done = asyncio.Event()
        self._expected = expected

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record a datagram."""
        self.received.append(data)
        if len(self.received) >= self._expected:
            self.done.set()


class DatagramSocketTest(unittest.IsolatedAsyncioTestCase):
    """Reading, sending and closing."""

    async def test_burst_arrives(self) -> None:
        """A burst of more datagrams than one read takes arrives in order."""
        protocol = _RecordingProtocol(_BURST)
        receiver = DatagramSocket(protocol, _LOOPBACK)
        sender = DatagramSocket(asyncio.DatagramProtocol(), _LOOPBACK)
        self.addCleanup(receiver.close)
        self.addCleanup(sender.close)
        for number in range(_BURST):
            sender.sendto(bytes([number]), receiver.get_extra_info("sockname"))
        await asyncio.wait_for(protocol.done.wait(), 30)
        self.assertEqual(protocol.received, [bytes([n]) for n in range(_BURST)])

    async def test_send_that_fails_is_counted(self) -> None:
        """A datagram that is too large is counted and raises no exception."""
        sender = DatagramSocket(asyncio.DatagramProtocol(), _LOOPBACK)
        self.addCleanup(sender.close)
        sender.sendto(bytes(70_000), ("127.0.0.1", 9))
        self.assertEqual(sender.unsent, 1)

    async def test_close_stops_reading(self) -> None:
        """A socket can be closed twice."""
        closed = DatagramSocket(asyncio.DatagramProtocol(), _LOOPBACK)
        closed.close()
        closed.close()
        self.assertTrue(closed.is_closing())

"""Tests of sockets that are bound before the program is loaded."""

import asyncio
import socket
import unittest
from datetime import timedelta

from pomelotrail_core.datagram_callback import open_datagram_socket
from pomelotrail_core.early_sockets import (
    ADDRESS_WAIT,
    AddressError,
    AddressWait,
    bind_datagrams,
    bind_early,
)
from pomelotrail_core.endpoint import Endpoint

# No interface has an address of the networks for documentation.
_ABSENT_ADDRESS = ("192.0.2.7", 8172)


class RecordedReports:
    """The lines that were reported, and a clock that advances by sleeping."""

    def __init__(self) -> None:
        """Start without lines."""
        self.lines: list[tuple[str, dict[str, str]]] = []
        self.elapsed = timedelta()
        self.wait = AddressWait(
            self.report, lambda: self.elapsed.total_seconds(), self.sleep
        )

    @property
    def events(self) -> list[str]:
        """Return the events of the lines."""
        return [event for event, _ in self.lines]

    def report(self, event: str, fields: dict[str, str]) -> None:
        """Record a line."""
        self.lines.append((event, fields))

    def sleep(self, seconds: float) -> None:
        """Advance the clock."""
        self.elapsed += timedelta(seconds=seconds)


class EarlySocketsTest(unittest.IsolatedAsyncioTestCase):
    """Datagrams that arrive between binding and reading."""

    def setUp(self) -> None:
        """Find an unused address."""
        found = bind_datagrams(("127.0.0.1", 0))
        self.address = found.getsockname()
        found.close()
        self.reports = RecordedReports()

    async def test_datagram_is_buffered_until_it_is_read(self) -> None:
        """A datagram sent before the socket is opened is read afterwards."""
        bind_early("{}:{}".format(*self.address), self.reports.report)
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
        self.assertEqual(self.reports.events, [])


class AddressWaitTest(unittest.TestCase):
    """Addresses that can't be used now, or never."""

    def setUp(self) -> None:
        """Record reports."""
        self.reports = RecordedReports()

    def test_address_in_use(self) -> None:
        """An address that stays in use raises an error after the wait."""
        taken = bind_datagrams(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        with self.assertRaises(AddressError) as caught:
            self.reports.wait.bind(taken.getsockname())
        self.assertEqual(caught.exception.field, "{}:{}".format(*taken.getsockname()))
        self.assertIn("in use, for 30 s", str(caught.exception))
        self.assertIn("end the process", caught.exception.remedy)
        self.assertGreaterEqual(self.reports.elapsed, ADDRESS_WAIT)
        self.assertEqual(self.reports.events, ["address_awaited"])

    def test_address_that_is_released(self) -> None:
        """Guards against a start that ends while its predecessor stops."""
        taken = bind_datagrams(("127.0.0.1", 0))
        address = taken.getsockname()

        def sleep(_: float) -> None:
            """Release the address during the wait."""
            taken.close()

        bound = AddressWait(self.reports.report, sleep=sleep).bind(address)
        self.addCleanup(bound.close)
        self.assertEqual(bound.getsockname(), address)
        self.assertEqual(self.reports.events, ["address_awaited", "address_bound"])

    def test_absent_address(self) -> None:
        """Guards against a start that ends before its interface is up."""
        with self.assertRaises(AddressError) as caught:
            self.reports.wait.bind(_ABSENT_ADDRESS)
        self.assertIn("interface", caught.exception.remedy)
        self.assertGreaterEqual(self.reports.elapsed, ADDRESS_WAIT)
        self.assertEqual(self.reports.events, ["address_awaited"])

    def test_texts_that_are_no_address(self) -> None:
        """Such a text raises an error at once, which names it."""
        texts = ("nonsense", "", ":1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536")
        for text in (*texts, "localhost:1", "127.0.0.1:-1", "\0:1", "127.1:1"):
            with self.subTest(text), self.assertRaises(AddressError) as caught:
                bind_early(text, self.reports.report)
            self.assertEqual(caught.exception.field, text)
            self.assertIn("192.0.2.7:8172", caught.exception.remedy)
        self.assertEqual(self.reports.events, [])

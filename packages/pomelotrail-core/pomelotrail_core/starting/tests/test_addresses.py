"""Tests of addresses that are in use at the start."""

import errno
import unittest
from datetime import timedelta

from harness.captured_logs import captured_logs
from harness.fake_clock import FakeClock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.starting import StartError, async_open_address
from pomelotrail_core.starting.const import ADDRESS_WAIT

_ENDPOINT = Endpoint("192.0.2.7", 4433)


class _AdvancingClock(FakeClock):
    """A clock on which each delay passes at once."""

    async def async_sleep(self, delay: timedelta) -> None:
        """Advance by the delay."""
        self.jump(delay)


class OpenAddressTest(unittest.IsolatedAsyncioTestCase):
    """Addresses that come back are waited for, for a limited time."""

    def setUp(self) -> None:
        """Count the attempts to open the address."""
        self.clock = _AdvancingClock()
        self.attempts = 0
        self.error = OSError(errno.EADDRINUSE, "in use")
        self.failures = 1_000_000

    async def async_open(self) -> str:
        """Fail a number of times."""
        self.attempts += 1
        if self.attempts <= self.failures:
            raise self.error
        return "open"

    async def async_open_address(self) -> str:
        """Open the address of a setting."""
        return await async_open_address(
            "control", _ENDPOINT, self.async_open, self.clock
        )

    async def test_predecessor_releases_the_address(self) -> None:
        """The address is opened once it is free, after one line in the log."""
        self.failures = 10
        with captured_logs(self) as lines:
            self.assertEqual(await self.async_open_address(), "open")
        self.assertEqual(len(lines), 1)
        self.assertRegex(lines[0], "control: address 192.0.2.7:4433 .*waiting")

    async def test_address_stays_in_use(self) -> None:
        """After the stated time the error names setting, problem and remedy."""
        with captured_logs(self), self.assertRaises(StartError) as raised:
            await self.async_open_address()
        self.assertGreaterEqual(self.clock.monotonic(), ADDRESS_WAIT)
        self.assertEqual(raised.exception.field, "control")
        self.assertRegex(str(raised.exception), "EADDRINUSE.*waited 30 s.*end the")

    async def test_lasting_error_ends_the_start_at_once(self) -> None:
        """A port that the user may not open is not waited for."""
        self.error = OSError(errno.EACCES, "denied")
        with self.assertRaises(StartError):
            await self.async_open_address()
        self.assertEqual(self.attempts, 1)

    async def test_no_descriptor_is_left(self) -> None:
        """Guards against advice on the address when the limit of files is the cause."""
        self.error = OSError(errno.EMFILE, "too many open files")
        with self.assertRaises(StartError) as raised:
            await self.async_open_address()
        self.assertRegex(str(raised.exception), "EMFILE.*raise the limit of open")
        self.assertNotIn("waited", str(raised.exception))

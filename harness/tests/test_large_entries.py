"""Tests of real processes beside large entries of other writers."""

import tempfile
import unittest
from pathlib import Path
from typing import Final

from stand_ins.platform_fleet import PlatformFleet, async_wait_until

# The largest value that the store takes.
_VALUE: Final = b"\xff" * 1_048_576
_ENTRIES: Final = 60
# The smallest VM has 139 MB. A balancer of this test takes 26 MB without them.
_MAX_PEAK_BYTES: Final = 60_000_000


class LargeEntriesTest(unittest.IsolatedAsyncioTestCase):
    """One balancer, one companion and 60 MB of another writer."""

    async def asyncSetUp(self) -> None:
        """Describe the fleet."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = PlatformFleet(Path(directory.name), 1, 1)
        self.addAsyncCleanup(self.fleet.async_stop)

    def write_entries(self) -> None:
        """Write the entries."""
        for index in range(_ENTRIES):
            self.fleet.store.write(f"servers/inventory-{index:02}", _VALUE)

    async def async_wait_until_read(self) -> None:
        """Wait until the balancer has read all of the entries."""
        (balancer,) = self.fleet.balancers

        async def async_is_read() -> bool:
            """Return whether there is a line about each entry."""
            self.assertTrue(balancer.is_running)
            lines = balancer.lines()
            unusable = [line for line in lines if line["event"] == "item_unusable"]
            return len({line["key"] for line in unusable}) == _ENTRIES

        await async_wait_until(async_is_read)

    async def async_check_fleet(self) -> None:
        """The balancer serves, and has stayed small."""
        answer = await self.fleet.caller().async_open_and_request(b"one")
        self.assertEqual(answer, b"answer to one")
        (balancer,) = self.fleet.balancers
        self.assertLess(balancer.peak_memory_bytes, _MAX_PEAK_BYTES)

    async def test_listed(self) -> None:
        """Guards against a balancer that is killed for its memory at its start."""
        self.write_entries()
        await self.fleet.async_start()
        await self.async_wait_until_read()
        await self.async_check_fleet()

    async def test_written_at_once(self) -> None:
        """Guards against a balancer that is killed for its memory by one answer."""
        await self.fleet.async_start()
        self.write_entries()
        await self.async_wait_until_read()
        await self.async_check_fleet()
        (balancer,) = self.fleet.balancers
        self.assertIn("changes_too_large", {line["event"] for line in balancer.lines()})

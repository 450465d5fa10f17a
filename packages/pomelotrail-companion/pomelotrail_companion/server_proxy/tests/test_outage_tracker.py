"""Tests of outages and restores that balancers report to a companion."""

import unittest
from typing import Final

from harness.virtual_time import VirtualClock, run_in_virtual_time
from pomelotrail_companion.server_proxy.const import MILLISECOND
from pomelotrail_companion.server_proxy.outage_tracker import OutageTracker
from pomelotrail_core.offers import MISSING_ENTRY_GRACE

_GRACE_MS: Final = MISSING_ENTRY_GRACE // MILLISECOND


class OutageTrackerTest(unittest.TestCase):
    """What a companion tells balancers that have just started."""

    def test_first_restore_of_a_store_without_an_era(self) -> None:
        """A store may report its era only once it was restored."""

        async def async_test() -> None:
            """Report no era first, and then one."""
            tracker = OutageTracker(VirtualClock())
            tracker.record(grace_ms=0, era=0)
            self.assertEqual(tracker.missing_entry_grace_ms, 0)
            tracker.record(grace_ms=0, era=1)
            self.assertEqual(tracker.missing_entry_grace_ms, _GRACE_MS)

        run_in_virtual_time(async_test())

    def test_first_message_after_a_start(self) -> None:
        """A companion that has just started can't know of a restore."""

        async def async_test() -> None:
            """Report an era to a companion that knows none."""
            tracker = OutageTracker(VirtualClock())
            tracker.record(grace_ms=0, era=3)
            self.assertEqual(tracker.missing_entry_grace_ms, 0)
            tracker.record(grace_ms=0, era=2)
            self.assertEqual(tracker.missing_entry_grace_ms, 0)

        run_in_virtual_time(async_test())

"""Tests of loopback networks of fleets that run at the same time."""

import unittest

from stand_ins.loopback_networks import ClaimedNetwork


class ClaimedNetworkTest(unittest.TestCase):
    """Fleets of two test runs on one machine."""

    def test_fleets_have_different_networks(self) -> None:
        """A network is claimed once, and again after its release."""
        first, second = ClaimedNetwork(), ClaimedNetwork()
        self.assertNotEqual(first.prefix, second.prefix)
        first.release()
        third = ClaimedNetwork()
        self.assertNotEqual(third.prefix, second.prefix)
        for network in (second, third):
            network.release()

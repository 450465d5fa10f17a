"""Tests of counters and histograms."""

import unittest
from datetime import timedelta

from pomelotrail_core.counters import Counters


class CountersTest(unittest.TestCase):
    """Output of a scrape."""

    def test_text(self) -> None:
        """All kinds of metrics appear in the Prometheus text format."""
        counters = Counters()
        counters.set_gauge("store_era", 2)
        counters.add("packets_forwarded", 3)
        counters.latency("offer_seconds").observe(timedelta(milliseconds=3))
        counters.latency("offer_seconds").observe(timedelta(seconds=30))
        text = counters.render().decode()
        self.assertIn("pomelotrail_packets_forwarded_total 3.0", text)
        self.assertIn("pomelotrail_store_era 2.0", text)
        self.assertIn('pomelotrail_offer_seconds_bucket{le="0.002"} 0.0', text)
        self.assertIn('pomelotrail_offer_seconds_bucket{le="0.005"} 1.0', text)
        self.assertIn('pomelotrail_offer_seconds_bucket{le="+Inf"} 2.0', text)
        self.assertIn("pomelotrail_offer_seconds_count 2.0", text)

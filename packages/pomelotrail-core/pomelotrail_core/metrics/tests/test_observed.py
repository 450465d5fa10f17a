"""Tests of metrics that are read at collection."""

import enum
import unittest

from pomelotrail_core.metrics import (
    Metric,
    Metrics,
    Reading,
    observe_counter,
    observe_gauge,
    readings_by,
)


class _Reason(enum.Enum):
    """Label values for the tests."""

    ZONE_OUT = "zone out"


class ObservedTest(unittest.TestCase):
    """Plain integers appear in the Prometheus output."""

    def setUp(self) -> None:
        """Create the metrics of one process."""
        self.metrics = Metrics("balancer-1", "veraval")
        self.addCleanup(self.metrics.shut_down)

    def test_counter_is_read_at_each_collection(self) -> None:
        """A later collection has the current count."""
        count = [3]
        observe_counter(
            self.metrics.meter("test"),
            Metric("observed_packets", "{packet}", "Packets of a test"),
            lambda: [Reading(count[0])],
        )
        self.assertRegex(self.metrics.render(), r"observed_packets_total\{.*\} 3\.0")
        count[0] = 5
        self.assertRegex(self.metrics.render(), r"observed_packets_total\{.*\} 5\.0")

    def test_label_of_an_enumeration(self) -> None:
        """The label value is the value of the enumeration member."""
        observe_gauge(
            self.metrics.meter("test"),
            Metric("observed_level", "1", "Level of a test"),
            lambda: readings_by("reason", {_Reason.ZONE_OUT: 7}),
        )
        self.assertIn('reason="zone out"', self.metrics.render())

    def test_process_and_zone_are_labels(self) -> None:
        """Every metric is labelled with its process and availability zone."""
        metric = Metric("observed_flows", "{flow}", "Flows of a test")
        observe_gauge(self.metrics.meter("test"), metric, lambda: [Reading(1)])
        labels = r'service_name="balancer-1",zone="veraval"'
        self.assertRegex(
            self.metrics.render(), r"pomelotrail_observed_flows\{" + labels
        )

    def test_processes_do_not_share_metrics(self) -> None:
        """Two ``Metrics`` objects in one interpreter are separate."""
        other = Metrics("balancer-2", "veraval")
        self.addCleanup(other.shut_down)
        metric = Metric("observed_flows", "{flow}", "Flows of a test")
        observe_gauge(other.meter("test"), metric, lambda: [Reading(1)])
        self.assertIn("balancer-2", other.render())
        self.assertNotIn("balancer-2", self.metrics.render())

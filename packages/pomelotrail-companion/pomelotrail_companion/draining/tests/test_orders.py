"""Tests of applying published drain orders."""

import unittest

from harness.builders import backend_server, configuration
from harness.fake_clock import FakeClock
from pomelotrail_companion.admission import AdaptiveLimit
from pomelotrail_companion.admission.limit import ColdEvidence
from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.draining.orders import call_when_back_in_service
from pomelotrail_core.timeline import Recorder


class ReturnTest(unittest.TestCase):
    """A backend server that is back in service starts cold."""

    def setUp(self) -> None:
        """Create a companion with the limit of a warm server."""
        self.clock = FakeClock()
        recorder = Recorder("ledger-1", "veraval", self.clock)
        self.state = DrainingState("ledger-1", "veraval", recorder)
        self.limit = AdaptiveLimit(5, self.clock, recorder)
        self.limit._limit = 5
        call_when_back_in_service(
            self.state, lambda: self.limit.handle_evidence(ColdEvidence.RETURNED)
        )

    def order(self, version: int, is_out: bool, zones_out: frozenset[str]) -> None:
        """Publish a configuration version."""
        servers = (backend_server(1, is_out=is_out),)
        self.state.configure(configuration(version, zones_out, servers))

    def test_zone_back(self) -> None:
        """The limit from before the drain order is reset."""
        self.order(1, False, frozenset({"veraval"}))
        self.order(2, False, frozenset())
        self.assertEqual(self.limit.limit, 1)

    def test_backend_server_back(self) -> None:
        """The limit is also reset for a single backend server."""
        self.order(1, True, frozenset())
        self.order(2, False, frozenset())
        self.assertEqual(self.limit.limit, 1)

    def test_other_versions_change_nothing(self) -> None:
        """A version without a return to service doesn't change the limit."""
        self.order(1, False, frozenset())
        self.order(2, False, frozenset({"jafrabad"}))
        self.order(3, False, frozenset())
        self.assertEqual(self.limit.limit, 5)

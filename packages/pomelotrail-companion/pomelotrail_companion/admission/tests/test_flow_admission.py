"""Tests of flow admission by share."""

import unittest
from datetime import timedelta

from harness.simulation import Simulation
from pomelotrail_companion.admission import AdaptiveLimit, FixedLimit
from pomelotrail_companion.admission.const import LOAD_REPORT_MAX_AGE
from pomelotrail_companion.admission.flow_admission import ShareAdmission
from pomelotrail_companion.admission.peer_loads import Load, PeerLoads

from .builders import recorder

_CONNECTIONS = 2000
_PEER = b"ledger"
_PEER_WITHOUT_REPORT = b"unheard"


class FlowAdmissionTest(unittest.TestCase):
    """A companion accepts its share of flows and refuses flows when full."""

    def setUp(self) -> None:
        """Create a warm companion without load reports."""
        self.clock = Simulation()
        self.loads = PeerLoads(self.clock)
        self.admission = ShareAdmission(_CONNECTIONS, FixedLimit(5), self.loads)

    def accepts(self, flows: int, is_last: bool = False) -> bool:
        """Return whether one more flow is accepted."""
        candidates = () if is_last else (_PEER, _PEER_WITHOUT_REPORT)
        return self.admission.accepts_flow(flows, candidates)

    def test_without_peers_every_flow_that_fits_is_accepted(self) -> None:
        """Without load reports, flows are not passed on."""
        self.assertTrue(self.accepts(_CONNECTIONS - 1))

    def test_full_companion_accepts_no_flow(self) -> None:
        """The connections of the backend server are a hard limit."""
        self.assertFalse(self.accepts(_CONNECTIONS))
        self.assertFalse(self.accepts(_CONNECTIONS, is_last=True))

    def test_above_share_passes_on_unless_last(self) -> None:
        """A companion above the mean passes on new flows while others remain."""
        self.loads.record_load(_PEER, Load(0, _CONNECTIONS))
        self.assertFalse(self.accepts(100))
        self.assertTrue(self.accepts(100, is_last=True))

    def test_clearly_emptier_candidate_is_preferred(self) -> None:
        """Below the mean, a flow still goes to a candidate with clearly less load."""
        self.loads.record_load(b"fuller", Load(1900, _CONNECTIONS))
        self.loads.record_load(_PEER, Load(500, _CONNECTIONS))
        self.assertTrue(self.accepts(520))
        self.assertFalse(self.accepts(600))

    def test_share_follows_the_limit(self) -> None:
        """A cold companion counts as a fifth of a warm one with five slots."""
        limit = AdaptiveLimit(5, self.clock, recorder(self.clock))
        self.admission = ShareAdmission(_CONNECTIONS, limit, self.loads)
        self.loads.record_load(_PEER, Load(1000, _CONNECTIONS))
        self.assertTrue(self.accepts(190))
        self.assertFalse(self.accepts(230))

    def test_expired_load_reports_are_ignored(self) -> None:
        """An expired load report does not influence admission."""
        self.loads.record_load(_PEER, Load(0, _CONNECTIONS))
        self.clock.run_until(LOAD_REPORT_MAX_AGE + timedelta(seconds=1))
        self.assertTrue(self.accepts(100))

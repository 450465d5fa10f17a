"""Tests of admitting flows by share."""

import unittest
from datetime import timedelta

from harness.simulation import Simulation
from pomelotrail_companion.admission import AdaptiveLimit, FixedLimit
from pomelotrail_companion.admission.const import LOAD_TRUST
from pomelotrail_companion.admission.flow_admission import FlowVerdict, ShareAdmission
from pomelotrail_companion.admission.peer_loads import Load, PeerLoads

from .builders import recorder

_CONNECTIONS = 2000
_PEER = b"ledger"
_UNHEARD = b"unheard"


class FlowAdmissionTest(unittest.TestCase):
    """A companion takes its share of flows, and says so when it is full."""

    def setUp(self) -> None:
        """Make a warm companion that has heard nobody."""
        self.clock = Simulation()
        self.loads = PeerLoads(self.clock)
        self.admission = ShareAdmission(_CONNECTIONS, FixedLimit(5), self.loads)

    def verdict(self, flows: int, is_last: bool = False) -> FlowVerdict:
        """Return what becomes of one more flow."""
        candidates = () if is_last else (_PEER, _UNHEARD)
        return self.admission.takes_new_flow(flows, candidates)

    def test_without_peers_every_flow_that_fits_is_taken(self) -> None:
        """Nothing heard is no reason to send callers on."""
        self.assertIs(self.verdict(_CONNECTIONS - 1), FlowVerdict.TAKE)

    def test_full_passes_on_and_the_last_refuses(self) -> None:
        """The connections of the backend server are a hard bound."""
        self.assertIs(self.verdict(_CONNECTIONS), FlowVerdict.PASS_ON)
        self.assertIs(self.verdict(_CONNECTIONS, is_last=True), FlowVerdict.REFUSE)

    def test_above_share_passes_on_unless_last(self) -> None:
        """A companion above the mean leaves new flows to others."""
        self.loads.hear(_PEER, Load(0, _CONNECTIONS))
        self.assertIs(self.verdict(100), FlowVerdict.PASS_ON)
        self.assertIs(self.verdict(100, is_last=True), FlowVerdict.TAKE)

    def test_clearly_emptier_candidate_is_preferred(self) -> None:
        """Below the mean, a flow still goes to a candidate that has less."""
        self.loads.hear(b"fuller", Load(1900, _CONNECTIONS))
        self.loads.hear(_PEER, Load(500, _CONNECTIONS))
        self.assertIs(self.verdict(520), FlowVerdict.TAKE)
        self.assertIs(self.verdict(600), FlowVerdict.PASS_ON)

    def test_share_follows_the_limit(self) -> None:
        """A cold companion counts as a fifth of a warm one with five slots."""
        limit = AdaptiveLimit(5, self.clock, recorder(self.clock))
        self.admission = ShareAdmission(_CONNECTIONS, limit, self.loads)
        self.loads.hear(_PEER, Load(1000, _CONNECTIONS))
        self.assertIs(self.verdict(190), FlowVerdict.TAKE)
        self.assertIs(self.verdict(230), FlowVerdict.PASS_ON)

    def test_silent_peers_are_forgotten(self) -> None:
        """What a peer said long ago moves no flows."""
        self.loads.hear(_PEER, Load(0, _CONNECTIONS))
        self.clock.run_until(LOAD_TRUST + timedelta(seconds=1))
        self.assertIs(self.verdict(100), FlowVerdict.TAKE)

"""Tests of routing packets at a companion."""

import unittest
from datetime import timedelta

import attrs
from hypothesis import given
from hypothesis import strategies as st

from harness.builders import configuration, token_keys
from pomelotrail_companion.edge.const import MAX_PASS_ON_ENTRIES, PASS_ON_TTL
from pomelotrail_companion.edge.drops import DropReason
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import TokenIssuer
from pomelotrail_core.timeline import EventKind

from .builders import Bench, companion, handshake, opening, short


class PassOnTest(unittest.TestCase):
    """All retransmissions of an opening packet go to one companion."""

    def setUp(self) -> None:
        """Set up a companion without capacity."""
        self.bench = Bench()
        self.bench.admission.accepts_flows = False

    def test_full_companion_passes_on_with_later_candidates(self) -> None:
        """The next candidate gets the packet with the candidates after it."""
        self.bench.route(opening())
        to, packet = self.bench.companion_sender.sent[0]
        self.assertEqual(to, companion(2))
        self.assertEqual(packet.candidates, (companion(3),))
        self.assertEqual(packet.hops, 1)

    def test_last_candidate_refuses(self) -> None:
        """Without a next candidate the flow is refused."""
        self.bench.route(opening(), candidates=())
        self.assertEqual(len(self.bench.edge.refused), 1)
        self.assertFalse(self.bench.companion_sender.sent)

    def test_refusal_applies_to_retransmission(self) -> None:
        """A retransmission is refused even if capacity is available by then."""
        self.bench.route(opening(), candidates=())
        self.bench.admission.accepts_flows = True
        self.bench.route(opening(), candidates=())
        self.assertEqual(len(self.bench.edge.refused), 2)
        self.assertFalse(self.bench.edge.flows)

    def test_decision_expires(self) -> None:
        """An expired decision allows the flow to be opened here."""
        self.bench.route(opening())
        self.bench.admission.accepts_flows = True
        self.bench.clock.jump(PASS_ON_TTL)
        self.bench.route(opening())
        self.assertTrue(self.bench.edge.flows)

    def test_decision_count_is_bounded(self) -> None:
        """A flood of opening packets uses bounded memory."""
        for number in range(MAX_PASS_ON_ENTRIES + 100):
            self.bench.route(opening(number.to_bytes(8, "big")))
        self.assertLessEqual(len(self.bench.pass_on), MAX_PASS_ON_ENTRIES)

    def test_candidate_in_zone_that_is_out_is_skipped(self) -> None:
        """A stale candidate list of a balancer does not reach a zone that is out."""
        bench = Bench(is_out=lambda packed: packed == companion(2))
        bench.admission.accepts_flows = False
        bench.route(opening())
        self.assertEqual(bench.companion_sender.sent[0][0], companion(3))

    def test_retransmissions_record_one_event(self) -> None:
        """Retransmissions add no events to the timeline."""
        for _ in range(5):
            self.bench.route(opening())
        kinds = [event.kind for event in self.bench.recorder.events]
        self.assertEqual(kinds.count(EventKind.FLOW_PASSED_ON), 1)

    @given(
        st.lists(
            st.tuples(
                st.booleans(),
                st.permutations([2, 3, 4]),
                st.integers(0, 40),
            ),
            min_size=1,
            max_size=12,
        )
    )
    def test_retransmissions_reach_one_companion(
        self, packets: list[tuple[bool, list[int], int]]
    ) -> None:
        """One companion gets all packets despite changes of capacity and candidates."""
        bench = Bench()
        for has_capacity, candidates, wait in packets:
            bench.admission.accepts_flows = has_capacity
            bench.clock.jump(timedelta(milliseconds=wait))
            ranked = tuple(companion(number) for number in candidates)
            bench.route(opening(), candidates=ranked)
        receivers = {to for to, _ in bench.companion_sender.sent}
        receivers |= {b"here"} if bench.edge.handled_packets else set()
        self.assertEqual(len(receivers), 1)


class UnknownPacketTest(unittest.TestCase):
    """Packets of unknown flows are passed on, or dropped and counted."""

    def setUp(self) -> None:
        """Set up a companion with capacity."""
        self.bench = Bench()

    def assert_dropped(self, reason: DropReason) -> None:
        """Assert that the only packet was dropped for the given reason."""
        self.assertEqual(self.bench.drops.counts, {reason: 1})
        self.assertFalse(self.bench.companion_sender.sent)
        self.assertFalse(self.bench.edge.handled_packets)
        self.assertFalse(self.bench.edge.refused)

    def test_non_opening_packet_goes_to_next_candidate(self) -> None:
        """The packet neither opens a flow nor is refused."""
        self.bench.route(handshake())
        self.assertEqual(self.bench.companion_sender.sent[0][0], companion(2))
        self.assertFalse(self.bench.drops.counts)

    def test_non_opening_packet_without_candidates_is_dropped(self) -> None:
        """A packet that no companion recognises is counted."""
        self.bench.route(handshake(), candidates=())
        self.assert_dropped(DropReason.UNRECOGNISED)

    def test_hop_limit(self) -> None:
        """A packet is not passed on beyond the maximum number of hops."""
        self.bench.route(handshake(), hops=4)
        self.assert_dropped(DropReason.UNRECOGNISED)

    def test_other_service(self) -> None:
        """A packet sent to the wrong service is dropped."""
        self.bench.route(opening(), service_number=2)
        self.assert_dropped(DropReason.OTHER_SERVICE)

    def _connection_id(self, **changes: object) -> bytes:
        """Return a connection ID of this companion with changed token fields."""
        return TokenIssuer(
            token_keys(), attrs.evolve(self.bench.token, **changes)
        ).issue()

    def test_replayed_to_another_service(self) -> None:
        """A token of another service opens nothing here."""
        self.bench.route(opening(self._connection_id(service_number=2)))
        self.assert_dropped(DropReason.OTHER_SERVICE)

    def test_token_of_another_companion(self) -> None:
        """A token of another companion opens nothing here."""
        other = Endpoint.unpack(companion(5))
        self.bench.route(short(self._connection_id(companion=other)))
        self.assert_dropped(DropReason.OTHER_COMPANION)

    def test_earlier_incarnation(self) -> None:
        """A restarted companion opens no flow for tokens of its earlier incarnation."""
        self.bench.route(opening(self._connection_id(incarnation=5)))
        self.assert_dropped(DropReason.OTHER_INCARNATION)

    def test_ended_flow(self) -> None:
        """Late packets of an ended flow have their own drop reason."""
        self.bench.route(short(self._connection_id()))
        self.assert_dropped(DropReason.ENDED_FLOW)

    def test_truncated(self) -> None:
        """A packet without a whole connection ID is malformed."""
        self.bench.route(opening()[:8])
        self.assert_dropped(DropReason.MALFORMED)

    @given(st.binary(max_size=100))
    def test_random_packets_reach_no_flow(self, payload: bytes) -> None:
        """Random bytes without candidates are dropped and counted."""
        bench = Bench()
        bench.route(payload, candidates=())
        self.assertFalse(bench.edge.handled_packets)
        self.assertEqual(sum(bench.drops.counts.values()), 1)


class ZoneOutTest(unittest.TestCase):
    """A companion in a zone that is out accepts no packets."""

    def setUp(self) -> None:
        """Take the zone of the companion out of service."""
        self.bench = Bench()
        self.bench.edge.flows.add(b"12345678")
        out = frozenset({self.bench.zone})
        self.bench.draining.configure(configuration(2, zones_out=out))

    def test_opening_is_passed_on(self) -> None:
        """An opening packet from a balancer with a stale version is passed on."""
        self.bench.route(opening(b"87654321"))
        self.assertEqual(self.bench.companion_sender.sent[0][0], companion(2))

    def test_last_candidate_refuses(self) -> None:
        """Without further candidates the flow is refused."""
        self.bench.route(opening(b"87654321"), candidates=())
        self.assertEqual(len(self.bench.edge.refused), 1)

    def test_established_flow_gets_nothing(self) -> None:
        """A packet of a flow that this companion owns is dropped."""
        connection_id = TokenIssuer(token_keys(), self.bench.token).issue()
        self.bench.edge.flows.add(connection_id)
        self.bench.route(short(connection_id))
        self.assertEqual(self.bench.drops.counts, {DropReason.ZONE_OUT: 1})
        self.assertFalse(self.bench.edge.handled_packets)

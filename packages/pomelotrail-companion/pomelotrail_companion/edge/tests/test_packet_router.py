"""Tests of what a companion does with packets."""

import unittest
from datetime import timedelta

import attrs
from hypothesis import given
from hypothesis import strategies as st

from harness.builders import configuration, token_keys
from pomelotrail_companion.edge.const import PASS_ON_ENTRIES, PASS_ON_MEMORY
from pomelotrail_companion.edge.drops import DropReason
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import TokenIssuer
from pomelotrail_core.timeline import EventKind

from .builders import Bench, companion, handshake, opening, short


class PassOnTest(unittest.TestCase):
    """All packets of one opening go one way."""

    def setUp(self) -> None:
        """Make a companion without room."""
        self.bench = Bench()
        self.bench.room.is_open = False

    def test_full_companion_passes_on_with_the_rest_of_the_list(self) -> None:
        """The next candidate gets the packet and who comes after it."""
        self.bench.take(opening())
        to, packet = self.bench.onward.sent[0]
        self.assertEqual(to, companion(2))
        self.assertEqual(packet.candidates, (companion(3),))
        self.assertEqual(packet.hops, 1)

    def test_last_candidate_refuses(self) -> None:
        """Without a next candidate the caller is told."""
        self.bench.take(opening(), candidates=())
        self.assertEqual(len(self.bench.edge.refused), 1)
        self.assertFalse(self.bench.onward.sent)

    def test_refusal_holds_for_the_opening(self) -> None:
        """Room that appears a moment later opens no second story."""
        self.bench.take(opening(), candidates=())
        self.bench.room.is_open = True
        self.bench.take(opening(), candidates=())
        self.assertEqual(len(self.bench.edge.refused), 2)
        self.assertFalse(self.bench.edge.flows)

    def test_memory_ends(self) -> None:
        """A few seconds later the opening is looked at afresh."""
        self.bench.take(opening())
        self.bench.room.is_open = True
        self.bench.clock.jump(PASS_ON_MEMORY)
        self.bench.take(opening())
        self.assertTrue(self.bench.edge.flows)

    def test_memory_is_bounded(self) -> None:
        """A flood of openings costs bounded memory."""
        for number in range(PASS_ON_ENTRIES + 100):
            self.bench.take(opening(number.to_bytes(8, "big")))
        self.assertLessEqual(len(self.bench.pass_on), PASS_ON_ENTRIES)

    def test_candidate_in_a_zone_that_is_out_is_passed_over(self) -> None:
        """A list of a balancer that missed the order does no harm."""
        bench = Bench(is_out=lambda packed: packed == companion(2))
        bench.room.is_open = False
        bench.take(opening())
        self.assertEqual(bench.onward.sent[0][0], companion(3))

    def test_one_event_for_one_opening(self) -> None:
        """Retransmissions add nothing to the time line."""
        for _ in range(5):
            self.bench.take(opening())
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
    def test_packets_of_one_opening_go_one_way(
        self, packets: list[tuple[bool, list[int], int]]
    ) -> None:
        """Whatever room and rosters do, one companion gets all the packets."""
        bench = Bench()
        for has_room, candidates, wait in packets:
            bench.room.is_open = has_room
            bench.clock.jump(timedelta(milliseconds=wait))
            ranked = tuple(companion(number) for number in candidates)
            bench.take(opening(), candidates=ranked)
        ways = {to for to, _ in bench.onward.sent}
        ways |= {b"here"} if bench.edge.taken else set()
        self.assertEqual(len(ways), 1)


class UnknownPacketTest(unittest.TestCase):
    """Packets without a flow here look for it, or are dropped and counted."""

    def setUp(self) -> None:
        """Make a companion with room."""
        self.bench = Bench()

    def assert_dropped(self, reason: DropReason) -> None:
        """Check that the only packet was dropped for a reason."""
        self.assertEqual(self.bench.drops.counts, {reason: 1})
        self.assertFalse(self.bench.onward.sent)
        self.assertFalse(self.bench.edge.taken)
        self.assertFalse(self.bench.edge.refused)

    def test_non_opening_packet_follows_the_list(self) -> None:
        """It is neither opened nor refused."""
        self.bench.take(handshake())
        self.assertEqual(self.bench.onward.sent[0][0], companion(2))
        self.assertFalse(self.bench.drops.counts)

    def test_non_opening_packet_is_dropped_after_the_last(self) -> None:
        """When nobody recognises it, it is counted."""
        self.bench.take(handshake(), candidates=())
        self.assert_dropped(DropReason.UNRECOGNISED)

    def test_list_without_end_is_cut(self) -> None:
        """A packet does not travel further than the longest list."""
        self.bench.take(handshake(), hops=4)
        self.assert_dropped(DropReason.UNRECOGNISED)

    def test_other_service(self) -> None:
        """A packet that was sent to the wrong service goes nowhere."""
        self.bench.take(opening(), service_number=2)
        self.assert_dropped(DropReason.OTHER_SERVICE)

    def _token(self, **changes: object) -> bytes:
        """Return a connection ID that is like one of this companion."""
        return TokenIssuer(
            token_keys(), attrs.evolve(self.bench.token, **changes)
        ).issue()

    def test_replayed_to_another_service(self) -> None:
        """A token of another service opens nothing here."""
        self.bench.take(opening(self._token(service_number=2)))
        self.assert_dropped(DropReason.OTHER_SERVICE)

    def test_token_of_another_companion(self) -> None:
        """Nor does a token of a neighbour."""
        other = Endpoint.unpack(companion(5))
        self.bench.take(short(self._token(companion=other)))
        self.assert_dropped(DropReason.OTHER_COMPANION)

    def test_earlier_incarnation(self) -> None:
        """A restarted companion does not open flows for its forerunner's."""
        self.bench.take(opening(self._token(incarnation=5)))
        self.assert_dropped(DropReason.OTHER_INCARNATION)

    def test_ended_flow(self) -> None:
        """Late packets of a flow that has ended are told apart."""
        self.bench.take(short(self._token()))
        self.assert_dropped(DropReason.ENDED_FLOW)

    def test_truncated(self) -> None:
        """A packet without a whole connection ID is malformed."""
        self.bench.take(opening()[:8])
        self.assert_dropped(DropReason.MALFORMED)

    @given(st.binary(max_size=100))
    def test_random_packets_touch_no_flow(self, payload: bytes) -> None:
        """Random bytes are offered along the list or dropped."""
        bench = Bench()
        bench.take(payload, candidates=())
        self.assertFalse(bench.edge.taken)
        self.assertEqual(sum(bench.drops.counts.values()), 1)


class ZoneOutTest(unittest.TestCase):
    """A companion in a zone that is out takes nothing."""

    def setUp(self) -> None:
        """Take the zone of the companion out."""
        self.bench = Bench()
        self.bench.edge.flows.add(b"12345678")
        out = frozenset({self.bench.zone})
        self.bench.draining.configure(configuration(2, zones_out=out))

    def test_opening_goes_on(self) -> None:
        """A balancer that missed the order costs the caller one hop."""
        self.bench.take(opening(b"87654321"))
        self.assertEqual(self.bench.onward.sent[0][0], companion(2))

    def test_opening_is_refused_by_the_last(self) -> None:
        """Nobody is left, so the caller is told."""
        self.bench.take(opening(b"87654321"), candidates=())
        self.assertEqual(len(self.bench.edge.refused), 1)

    def test_established_flow_gets_nothing(self) -> None:
        """Even a packet of a flow held here is dropped."""
        connection_id = TokenIssuer(token_keys(), self.bench.token).issue()
        self.bench.edge.flows.add(connection_id)
        self.bench.take(short(connection_id))
        self.assertEqual(self.bench.drops.counts, {DropReason.ZONE_OUT: 1})
        self.assertFalse(self.bench.edge.taken)

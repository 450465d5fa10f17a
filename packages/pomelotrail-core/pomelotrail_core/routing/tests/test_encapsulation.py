"""Tests of the packets between balancers and companions."""

import itertools
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from harness.builders import FLEET_KEY
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import Encapsulation, ForwardedPacket, ReturnedPacket
from pomelotrail_core.routing.errors import EncapsulationError

_CALLER = Endpoint("198.51.100.4", 5000).pack()
_BALANCER = Endpoint("192.0.2.200", 7000).pack()
_FORWARDED = ForwardedPacket(9, 1, _CALLER, _BALANCER, 0, (_BALANCER,), b"payload")


class EncapsulationTest(unittest.TestCase):
    """Only packets of the same fleet are decoded."""

    @given(st.binary(max_size=1500), st.integers(0, 4), st.integers(0, 2**64 - 1))
    def test_forwarded_round_trip(self, payload: bytes, count: int, at: int) -> None:
        """Every field of a forwarded packet is preserved."""
        packet = attrs.evolve(
            _FORWARDED, version=at, payload=payload, candidates=(_BALANCER,) * count
        )
        codec = Encapsulation(FLEET_KEY)
        opened = codec.decode_forwarded(codec.encode_forwarded(packet))
        self.assertEqual(opened.unwrap(), packet)

    def test_returned_round_trip(self) -> None:
        """Every field of a returned packet is preserved."""
        packet = ReturnedPacket(9, 1, _CALLER, b"answer")
        codec = Encapsulation(FLEET_KEY)
        opened = codec.decode_returned(codec.encode_returned(packet))
        self.assertEqual(opened.unwrap(), packet)

    def test_fast_path_decodes_the_returned_packet(self) -> None:
        """The fast path of a balancer decodes the same fields."""
        codec = Encapsulation(FLEET_KEY)
        datagram = codec.encode_returned(ReturnedPacket(9, 1, _CALLER, b"answer"))
        answer = codec.decode_caller_answer(datagram)
        assert answer is not None
        self.assertEqual(answer.caller, ("198.51.100.4", 5000))
        self.assertEqual((answer.version, answer.service_number), (9, 1))
        self.assertEqual(answer.payload, b"answer")
        for position in range(len(datagram)):
            changed = bytearray(datagram)
            changed[position] ^= 1
            self.assertIsNone(codec.decode_caller_answer(bytes(changed)))

    @given(st.binary(max_size=60), st.integers(0, 3))
    def test_sealer_makes_the_same_datagrams(self, payload: bytes, count: int) -> None:
        """Datagrams of the sealer decode like those of ``encode_forwarded``."""
        codec = Encapsulation(FLEET_KEY)
        candidates = (_BALANCER,) * count
        sealer = codec.sealer(1, _BALANCER)
        sealer.set_version(9)
        opened = codec.decode_forwarded(sealer.seal(_CALLER, candidates, payload))
        expected = attrs.evolve(_FORWARDED, candidates=candidates, payload=payload)
        self.assertEqual(opened.unwrap(), expected)

    @given(st.integers(0, 63))
    def test_changed_datagram_is_refused(self, position: int) -> None:
        """A datagram with any changed byte is rejected."""
        codec = Encapsulation(FLEET_KEY)
        datagram = bytearray(codec.encode_forwarded(_FORWARDED))
        datagram[position % len(datagram)] ^= 0xFF
        self.assertTrue(codec.decode_forwarded(bytes(datagram)).is_err())

    @given(st.binary(max_size=100))
    def test_random_datagram_is_refused(self, datagram: bytes) -> None:
        """Random bytes return an error and never raise."""
        codec = Encapsulation(FLEET_KEY)
        self.assertTrue(codec.decode_forwarded(datagram).is_err())
        self.assertTrue(codec.decode_returned(datagram).is_err())

    def test_fleet_key_rotation(self) -> None:
        """At each step, processes with the old and new settings interoperate."""
        old, new = FLEET_KEY, bytes(range(1, 33))
        steps = [(old, ()), (old, (new,)), (new, (old,)), (new, ())]
        codecs = [Encapsulation(key, accepted) for key, accepted in steps]
        for before, after in itertools.pairwise(codecs):
            for sender, receiver in ((before, after), (after, before)):
                datagram = sender.encode_forwarded(_FORWARDED)
                opened = receiver.decode_forwarded(datagram)
                self.assertEqual(opened.unwrap(), _FORWARDED)
        datagram = codecs[0].encode_forwarded(_FORWARDED)
        self.assertTrue(codecs[3].decode_forwarded(datagram).is_err())

    def test_different_fleet_key(self) -> None:
        """A packet with a different fleet key fails the MAC check."""
        datagram = Encapsulation(bytes(32)).encode_forwarded(_FORWARDED)
        error = Encapsulation(FLEET_KEY).decode_forwarded(datagram).unwrap_err()
        self.assertIs(error, EncapsulationError.MAC)

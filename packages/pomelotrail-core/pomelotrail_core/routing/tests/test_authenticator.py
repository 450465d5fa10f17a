"""Tests of the authentication of datagrams."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from harness.builders import FLEET_KEY
from pomelotrail_core.routing.authenticator import TRAILER_BYTES, Authenticator
from pomelotrail_core.routing.const import TAG_BYTES


class AuthenticatorTest(unittest.TestCase):
    """Only datagrams sealed with the key are accepted."""

    @given(st.binary(min_size=1, max_size=1400), st.data())
    def test_changed_byte_is_rejected(self, body: bytes, data: st.DataObject) -> None:
        """A datagram with any changed byte is rejected."""
        authenticator = Authenticator(FLEET_KEY)
        sealed = bytearray(authenticator.seal(body))
        self.assertTrue(authenticator.accepts(bytes(sealed)))
        position = data.draw(st.integers(0, len(sealed) - 1))
        sealed[position] ^= data.draw(st.integers(1, 255))
        self.assertFalse(authenticator.accepts(bytes(sealed)))

    def test_nonces_are_not_repeated(self) -> None:
        """No nonce repeats within a process or between two processes."""
        nonces = {
            authenticator.seal(b"")[-TRAILER_BYTES:-TAG_BYTES]
            for authenticator in (Authenticator(FLEET_KEY), Authenticator(FLEET_KEY))
            for _ in range(1_000)
        }
        self.assertEqual(len(nonces), 2_000)

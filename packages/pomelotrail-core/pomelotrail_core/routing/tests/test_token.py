"""Tests of routing tokens."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from harness.builders import TOKEN_KEY, routing_token, token_keys
from pomelotrail_core.routing import TokenIssuer, TokenKeys, TokenReader
from pomelotrail_core.routing.const import TOKEN_BYTES
from pomelotrail_core.routing.errors import TokenError


class TokenTest(unittest.TestCase):
    """Tokens encode their owner and can't be forged."""

    def test_round_trip(self) -> None:
        """A reader with the same key decodes an issued token."""
        connection_id = TokenIssuer(token_keys(), routing_token()).issue()
        self.assertEqual(len(connection_id), TOKEN_BYTES)
        self.assertEqual(
            TokenReader(token_keys()).read(connection_id).unwrap(), routing_token()
        )

    @given(st.integers(0, 8 * TOKEN_BYTES - 1))
    def test_any_flipped_bit_is_detected(self, bit: int) -> None:
        """A token with a single flipped bit is rejected."""
        changed = bytearray(TokenIssuer(token_keys(), routing_token()).issue())
        changed[bit // 8] ^= 1 << bit % 8
        result = TokenReader(token_keys()).read(bytes(changed))
        self.assertTrue(result.is_err())

    def test_two_generations(self) -> None:
        """During a key rotation, tokens of both generations are accepted."""
        old = TokenKeys(0, {0: TOKEN_KEY})
        new = TokenKeys(1, {0: TOKEN_KEY, 1: bytes(16)})
        for keys in (old, new):
            connection_id = TokenIssuer(keys, routing_token()).issue()
            self.assertTrue(TokenReader(new).read(connection_id).is_ok())

    def test_unknown_generation(self) -> None:
        """A token of an unconfigured key generation is rejected."""
        keys = TokenKeys(2, {2: TOKEN_KEY})
        connection_id = TokenIssuer(keys, routing_token()).issue()
        error = TokenReader(token_keys()).read(connection_id).unwrap_err()
        self.assertIs(error, TokenError.GENERATION)

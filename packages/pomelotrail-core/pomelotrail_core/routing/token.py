"""Connection IDs that encode the companion which owns the flow.

A token has 20 bytes: one byte whose two upper bits are the generation of the
key, three random bytes, and one AES block. The block contains availability
zone, address and port of the companion, service, incarnation, one random byte,
and a copy of the first four bytes, which authenticates the token: a forged one
passes with a probability of 2^-32.
"""

import os
import struct
from typing import Final

import attrs
from cryptography.hazmat.primitives.ciphers import Cipher, algorithms, modes
from result import Err, Ok, Result

from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES, Endpoint

from .const import MAX_KEY_GENERATION, TOKEN_BYTES
from .errors import TokenError

_BLOCK: Final = struct.Struct(f"!B{PACKED_ENDPOINT_BYTES}sHHB4s")
_OWNER: Final = struct.Struct(f"!B{PACKED_ENDPOINT_BYTES}sHH")
_PREFIX_BYTES: Final = 4
_CHECK_OFFSET: Final = _BLOCK.size - _PREFIX_BYTES
_GENERATION_SHIFT: Final = 6
_RANDOM_MASK: Final = 0x3F


@attrs.frozen
class RoutingToken:
    """The content of a connection ID: the companion that owns the flow."""

    zone_number: int
    companion: Endpoint
    service_number: int
    incarnation: int


@attrs.frozen
class TokenKeys:
    """The AES keys by generation; ``current`` encrypts new tokens."""

    current: int
    keys: dict[int, bytes] = attrs.field(repr=False)

    def __attrs_post_init__(self) -> None:
        """Validate the generations."""
        if self.current not in self.keys:
            raise ValueError(f"no token key of the current generation {self.current}")
        if max(self.keys) > MAX_KEY_GENERATION:
            raise ValueError(f"generations go from 0 to {MAX_KEY_GENERATION}")


class TokenIssuer:
    """Issues the connection IDs of one companion."""

    def __init__(self, keys: TokenKeys, token: RoutingToken) -> None:
        """Encrypt ``token`` with the current key."""
        self._generation = keys.current
        cipher = Cipher(algorithms.AES(keys.keys[keys.current]), modes.ECB())
        # Each ID is a single block with its own random bytes, so ECB repeats nothing.
        self._encryptor = cipher.encryptor()
        self._token = token
        self._packed_companion = token.companion.pack()

    def issue(self) -> bytes:
        """Return a new 20-byte connection ID that can't be linked to others."""
        random = os.urandom(_PREFIX_BYTES + 1)
        first = self._generation << _GENERATION_SHIFT | random[0] & _RANDOM_MASK
        prefix = bytes([first]) + random[1:_PREFIX_BYTES]
        block = _BLOCK.pack(
            self._token.zone_number,
            self._packed_companion,
            self._token.service_number,
            self._token.incarnation & 0xFFFF,
            random[_PREFIX_BYTES],
            prefix,
        )
        return prefix + self._encryptor.update(block)


class TokenReader:
    """Decodes connection IDs issued by any companion of the fleet."""

    def __init__(self, keys: TokenKeys) -> None:
        """Accept tokens of every generation in ``keys``."""
        self._decryptors = {
            generation: Cipher(algorithms.AES(key), modes.ECB()).decryptor()
            for generation, key in keys.keys.items()
        }

    def read(self, connection_id: bytes) -> Result[RoutingToken, TokenError]:
        """Decode a connection ID and check that a known key encrypted it."""
        if len(connection_id) != TOKEN_BYTES:
            return Err(TokenError.LENGTH)
        if connection_id[0] >> _GENERATION_SHIFT not in self._decryptors:
            return Err(TokenError.GENERATION)
        owner = self.read_packed(connection_id)
        return Ok(unpack_owner(owner)) if owner else Err(TokenError.CHECK)

    def read_packed(self, connection_id: bytes) -> bytes | None:
        """Return the packed owner in a connection ID, or None if it is no token.

        Equal owners have equal bytes, so they can be looked up before they are
        unpacked by ``unpack_owner``.
        """
        decryptor = self._decryptors.get(connection_id[0] >> _GENERATION_SHIFT)
        if decryptor is None:
            return None
        block = decryptor.update(connection_id[_PREFIX_BYTES:])
        if block[_CHECK_OFFSET:] != connection_id[:_PREFIX_BYTES]:
            return None
        return block[: _OWNER.size]

    def read_short_header(self, packet: bytes) -> bytes | None:
        """Return the packed owner in a packet with a short header, or None.

        The connection ID starts at the second byte. The slices are literals
        because this runs for every packet of every established flow.
        """
        decryptor = self._decryptors.get(packet[1] >> _GENERATION_SHIFT)
        if decryptor is None:
            return None
        block = decryptor.update(packet[5:21])
        if block[12:] != packet[1:5]:
            return None
        return block[:11]


def unpack_owner(owner: bytes) -> RoutingToken:
    """Return the token for an owner packed by ``TokenReader.read_packed``."""
    zone, companion, service, incarnation = _OWNER.unpack(owner)
    return RoutingToken(zone, Endpoint.unpack(companion), service, incarnation)

"""Packets between balancers and companions.

A balancer wraps a caller's packet as a ``ForwardedPacket``; a companion wraps
its answers as a ``ReturnedPacket``. Both end with a MAC over everything before
it, keyed with the fleet key, so a process takes packets of its own fleet only.
"""

import hashlib
import hmac
import struct
from typing import Final

import attrs
from result import Err, Ok, Result

from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES

from .const import MAC_BYTES
from .errors import EncapsulationError

_FORWARDED: Final = 0x51
_RETURNED: Final = 0x52
_FORWARDED_HEAD: Final = struct.Struct(
    f"!BQH{PACKED_ENDPOINT_BYTES}s{PACKED_ENDPOINT_BYTES}sBB"
)
_RETURNED_HEAD: Final = struct.Struct(f"!BQH{PACKED_ENDPOINT_BYTES}s")


@attrs.frozen
class ForwardedPacket:
    """A caller's packet on its way to a companion.

    Endpoints stand as six packed bytes. ``balancer`` is where answers go.
    ``candidates`` are the companions still to be offered the flow after the
    receiver; there are none when the packet names its owner.
    """

    version: int
    service_number: int
    caller: bytes
    balancer: bytes
    hops: int
    candidates: tuple[bytes, ...]
    payload: bytes


@attrs.frozen
class ReturnedPacket:
    """A companion's packet on its way to a caller."""

    version: int
    service_number: int
    caller: bytes
    payload: bytes


class Encapsulation:
    """Encodes and decodes packets with one fleet key."""

    def __init__(self, fleet_key: bytes) -> None:
        """Authenticate with ``fleet_key``."""
        self._keyed = hashlib.blake2b(key=fleet_key, digest_size=MAC_BYTES)

    def encode_forwarded(self, packet: ForwardedPacket) -> bytes:
        """Return the datagram for a companion."""
        head = _FORWARDED_HEAD.pack(
            _FORWARDED,
            packet.version,
            packet.service_number,
            packet.caller,
            packet.balancer,
            packet.hops,
            len(packet.candidates),
        )
        return self._seal(head + b"".join(packet.candidates) + packet.payload)

    def decode_forwarded(
        self, datagram: bytes
    ) -> Result[ForwardedPacket, EncapsulationError]:
        """Check and open a datagram of a balancer or another companion."""
        match self._open(datagram, _FORWARDED, _FORWARDED_HEAD.size):
            case Err(error):
                return Err(error)
            case Ok(body):
                return _parse_forwarded(body)

    def encode_returned(self, packet: ReturnedPacket) -> bytes:
        """Return the datagram for a balancer."""
        head = _RETURNED_HEAD.pack(
            _RETURNED, packet.version, packet.service_number, packet.caller
        )
        return self._seal(head + packet.payload)

    def decode_returned(
        self, datagram: bytes
    ) -> Result[ReturnedPacket, EncapsulationError]:
        """Check and open a datagram of a companion."""
        match self._open(datagram, _RETURNED, _RETURNED_HEAD.size):
            case Err(error):
                return Err(error)
            case Ok(body):
                _, version, service, caller = _RETURNED_HEAD.unpack_from(body)
                payload = body[_RETURNED_HEAD.size :]
                return Ok(ReturnedPacket(version, service, caller, payload))

    def _seal(self, body: bytes) -> bytes:
        """Append the MAC."""
        mac = self._keyed.copy()
        mac.update(body)
        return body + mac.digest()

    def _open(
        self, datagram: bytes, kind: int, head_bytes: int
    ) -> Result[bytes, EncapsulationError]:
        """Check length, kind and MAC, and return what stands before the MAC."""
        if len(datagram) < head_bytes + MAC_BYTES:
            return Err(EncapsulationError.TRUNCATED)
        if datagram[0] != kind:
            return Err(EncapsulationError.FORMAT)
        body = datagram[:-MAC_BYTES]
        mac = self._keyed.copy()
        mac.update(body)
        if not hmac.compare_digest(mac.digest(), datagram[-MAC_BYTES:]):
            return Err(EncapsulationError.MAC)
        return Ok(body)


def _parse_forwarded(body: bytes) -> Result[ForwardedPacket, EncapsulationError]:
    """Read the fields of an authenticated forwarded packet."""
    head = _FORWARDED_HEAD.unpack_from(body)
    _, version, service, caller, balancer, hops, count = head
    start = _FORWARDED_HEAD.size
    end = start + count * PACKED_ENDPOINT_BYTES
    if end > len(body):
        return Err(EncapsulationError.TRUNCATED)
    candidates = tuple(
        body[at : at + PACKED_ENDPOINT_BYTES]
        for at in range(start, end, PACKED_ENDPOINT_BYTES)
    )
    payload = body[end:]
    return Ok(
        ForwardedPacket(version, service, caller, balancer, hops, candidates, payload)
    )

"""Packets between balancers and companions.

A balancer wraps a caller's packet as a ``ForwardedPacket``; a companion wraps
its answers as a ``ReturnedPacket``. Both end with a MAC over everything before
it, keyed with the fleet key, so a process takes packets of its own fleet only.
"""

import hashlib
import hmac
import struct
from typing import Any, Final

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
_FORWARDED_PREFIX: Final = struct.Struct("!BQH")
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

    def sealer(self, service_number: int, balancer: bytes) -> "ForwardedSealer":
        """Return what seals the packets of one service at one balancer."""
        return ForwardedSealer(self._keyed, service_number, balancer)

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
        return _seal(self._keyed, head + b"".join(packet.candidates), packet.payload)

    def decode_forwarded(
        self, datagram: bytes
    ) -> Result[ForwardedPacket, EncapsulationError]:
        """Check and open a datagram of a balancer or another companion."""
        error = self._check(datagram, _FORWARDED, _FORWARDED_HEAD.size)
        return Err(error) if error else _parse_forwarded(datagram)

    def encode_returned(self, packet: ReturnedPacket) -> bytes:
        """Return the datagram for a balancer."""
        head = _RETURNED_HEAD.pack(
            _RETURNED, packet.version, packet.service_number, packet.caller
        )
        return _seal(self._keyed, head, packet.payload)

    def decode_returned(
        self, datagram: bytes
    ) -> Result[ReturnedPacket, EncapsulationError]:
        """Check and open a datagram of a companion."""
        error = self._check(datagram, _RETURNED, _RETURNED_HEAD.size)
        if error:
            return Err(error)
        _, version, service, caller = _RETURNED_HEAD.unpack_from(datagram)
        payload = datagram[_RETURNED_HEAD.size : -MAC_BYTES]
        return Ok(ReturnedPacket(version, service, caller, payload))

    def _check(
        self, datagram: bytes, kind: int, head_bytes: int
    ) -> EncapsulationError | None:
        """Check length, kind and MAC."""
        if len(datagram) < head_bytes + MAC_BYTES:
            return EncapsulationError.TRUNCATED
        if datagram[0] != kind:
            return EncapsulationError.FORMAT
        mac = self._keyed.copy()
        mac.update(memoryview(datagram)[:-MAC_BYTES])
        if not hmac.compare_digest(mac.digest(), datagram[-MAC_BYTES:]):
            return EncapsulationError.MAC
        return None


class ForwardedSealer:
    """Seals the packets of one service at one balancer.

    All of them share most of the head, which is packed once for each
    configuration version. The datagrams are those of ``encode_forwarded``.
    """

    def __init__(self, keyed: Any, service_number: int, balancer: bytes) -> None:
        """Seal with a MAC that has been keyed; answers go to ``balancer``."""
        self._keyed = keyed
        self._service_number = service_number
        self._balancer = balancer
        self._version = -1
        self._prefix = b""
        self._suffix = balancer + bytes(2)

    def seal(
        self,
        version: int,
        caller: bytes,
        candidates: tuple[bytes, ...],
        payload: bytes,
    ) -> bytes:
        """Return the datagram of a packet on its first hop."""
        if version != self._version:
            self._version = version
            self._prefix = _FORWARDED_PREFIX.pack(
                _FORWARDED, version, self._service_number
            )
        if candidates:
            tail = self._balancer + bytes((0, len(candidates))) + b"".join(candidates)
        else:
            tail = self._suffix
        return _seal(self._keyed, self._prefix + caller + tail, payload)


def _seal(keyed: Any, head: bytes, payload: bytes) -> bytes:
    """Return head and payload with their MAC."""
    mac = keyed.copy()
    mac.update(head)
    mac.update(payload)
    return b"".join((head, payload, mac.digest()))


def _parse_forwarded(datagram: bytes) -> Result[ForwardedPacket, EncapsulationError]:
    """Read the fields of an authenticated forwarded packet."""
    head = _FORWARDED_HEAD.unpack_from(datagram)
    _, version, service, caller, balancer, hops, count = head
    start = _FORWARDED_HEAD.size
    end = start + count * PACKED_ENDPOINT_BYTES
    if end > len(datagram) - MAC_BYTES:
        return Err(EncapsulationError.TRUNCATED)
    candidates = tuple(
        datagram[at : at + PACKED_ENDPOINT_BYTES]
        for at in range(start, end, PACKED_ENDPOINT_BYTES)
    )
    payload = datagram[end:-MAC_BYTES]
    return Ok(
        ForwardedPacket(version, service, caller, balancer, hops, candidates, payload)
    )

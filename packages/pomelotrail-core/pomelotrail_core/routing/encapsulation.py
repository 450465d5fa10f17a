"""Packets between balancers and companions.

A balancer wraps a caller's packet as a ``ForwardedPacket``; a companion wraps
its answers as a ``ReturnedPacket``. Both end with a nonce and an AES-GMAC tag
over everything before them, keyed with the fleet key, so a process accepts only
packets of its own fleet.
"""

import struct
from collections.abc import Sequence
from socket import inet_ntoa
from typing import Final

import attrs
from result import Err, Ok, Result

from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES

from .authenticator import TRAILER_BYTES, Authenticator
from .errors import EncapsulationError

_FORWARDED: Final = 0x51
_RETURNED: Final = 0x52
_FORWARDED_HEAD: Final = struct.Struct(
    f"!BQH{PACKED_ENDPOINT_BYTES}s{PACKED_ENDPOINT_BYTES}sBB"
)
_FORWARDED_PREFIX: Final = struct.Struct("!BQH")
_RETURNED_HEAD: Final = struct.Struct(f"!BQH{PACKED_ENDPOINT_BYTES}s")
_ANSWER_HEAD: Final = struct.Struct("!BQH4sH")
_MIN_RETURNED_BYTES: Final = _RETURNED_HEAD.size + TRAILER_BYTES


@attrs.frozen
class ForwardedPacket:
    """A caller's packet on its way to a companion.

    Endpoints are packed into six bytes. ``balancer`` is the endpoint that answers
    are sent to. ``candidates`` are the companions to offer the flow to after the
    receiver; it is empty when the packet names its owner.
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


@attrs.define
class CallerAnswer:
    """A returned packet with the caller's address in the socket's format.

    It is not frozen because a balancer creates one for each answer, and creating
    an instance of a frozen class takes three times as long.
    """

    version: int
    service_number: int
    caller: tuple[str, int]
    payload: bytes


class Encapsulation:
    """Encodes packets with one fleet key and decodes those of accepted keys."""

    def __init__(self, fleet_key: bytes, accepted: Sequence[bytes] = ()) -> None:
        """Seal with ``fleet_key``; also verify with the ``accepted`` keys."""
        self._authenticator = Authenticator(fleet_key, accepted)

    def sealer(self, service_number: int, balancer: bytes) -> "ForwardedSealer":
        """Return a sealer for the packets of one service at one balancer."""
        return ForwardedSealer(self._authenticator, service_number, balancer)

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
        return self._authenticator.seal(
            b"".join((head, *packet.candidates, packet.payload))
        )

    def decode_forwarded(
        self, datagram: bytes
    ) -> Result[ForwardedPacket, EncapsulationError]:
        """Verify and decode a datagram of a balancer or another companion."""
        error = self._check(datagram, _FORWARDED, _FORWARDED_HEAD.size)
        return Err(error) if error else _parse_forwarded(datagram)

    def encode_returned(self, packet: ReturnedPacket) -> bytes:
        """Return the datagram for a balancer."""
        head = _RETURNED_HEAD.pack(
            _RETURNED, packet.version, packet.service_number, packet.caller
        )
        return self._authenticator.seal(head + packet.payload)

    def decode_returned(
        self, datagram: bytes
    ) -> Result[ReturnedPacket, EncapsulationError]:
        """Verify and decode a datagram of a companion."""
        error = self._check(datagram, _RETURNED, _RETURNED_HEAD.size)
        if error:
            return Err(error)
        _, version, service, caller = _RETURNED_HEAD.unpack_from(datagram)
        payload = datagram[_RETURNED_HEAD.size : -TRAILER_BYTES]
        return Ok(ReturnedPacket(version, service, caller, payload))

    def decode_caller_answer(self, datagram: bytes) -> "CallerAnswer | None":
        """Return the answer to send to a caller, or None if it is invalid.

        This is the fast path for nearly every answer; ``decode_returned``
        returns the error of an invalid one.
        """
        if len(datagram) < _MIN_RETURNED_BYTES or datagram[0] != _RETURNED:
            return None
        if not self._authenticator.accepts(datagram):
            return None
        _, version, service, host, port = _ANSWER_HEAD.unpack_from(datagram)
        payload = datagram[_ANSWER_HEAD.size : -TRAILER_BYTES]
        return CallerAnswer(version, service, (inet_ntoa(host), port), payload)

    def _check(
        self, datagram: bytes, kind: int, head_bytes: int
    ) -> EncapsulationError | None:
        """Verify length, format and MAC."""
        if len(datagram) < head_bytes + TRAILER_BYTES:
            return EncapsulationError.TRUNCATED
        if datagram[0] != kind:
            return EncapsulationError.FORMAT
        if not self._authenticator.accepts(datagram):
            return EncapsulationError.MAC
        return None


class ForwardedSealer:
    """Seals the packets of one service at one balancer.

    These packets share most of the header, which is packed once for each
    configuration version. The format is the same as in ``encode_forwarded``.
    """

    def __init__(
        self, authenticator: Authenticator, service_number: int, balancer: bytes
    ) -> None:
        """Seal for one service; answers are sent to ``balancer``."""
        self._seal = authenticator.seal
        self._service_number = service_number
        self._balancer = balancer
        self._suffix = balancer + bytes(2)
        self.set_version(0)

    def set_version(self, version: int) -> None:
        """Set the configuration version that later packets carry."""
        self._prefix = _FORWARDED_PREFIX.pack(_FORWARDED, version, self._service_number)

    def seal(
        self, caller: bytes, candidates: tuple[bytes, ...], payload: bytes
    ) -> bytes:
        """Return the datagram for a packet on its first hop."""
        if not candidates:
            return self._seal(b"".join((self._prefix, caller, self._suffix, payload)))
        hops_and_count = bytes((0, len(candidates)))
        head = (self._prefix, caller, self._balancer, hops_and_count)
        return self._seal(b"".join((*head, *candidates, payload)))


def _parse_forwarded(datagram: bytes) -> Result[ForwardedPacket, EncapsulationError]:
    """Parse the fields of an authenticated forwarded packet."""
    head = _FORWARDED_HEAD.unpack_from(datagram)
    _, version, service, caller, balancer, hops, count = head
    start = _FORWARDED_HEAD.size
    end = start + count * PACKED_ENDPOINT_BYTES
    if end > len(datagram) - TRAILER_BYTES:
        return Err(EncapsulationError.TRUNCATED)
    candidates = tuple(
        datagram[at : at + PACKED_ENDPOINT_BYTES]
        for at in range(start, end, PACKED_ENDPOINT_BYTES)
    )
    payload = datagram[end:-TRAILER_BYTES]
    return Ok(
        ForwardedPacket(version, service, caller, balancer, hops, candidates, payload)
    )

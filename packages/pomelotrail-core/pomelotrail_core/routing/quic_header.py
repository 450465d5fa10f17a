"""The version-independent part of QUIC headers (RFC 8999)."""

from typing import Final

from .const import TOKEN_BYTES

MIN_OPENING_BYTES: Final = 1_200
LONG_HEADER: Final = 0x80

_LONG_TYPE_MASK: Final = 0x30
_VERSION: Final = slice(1, 5)
_VERSION_1: Final = (1).to_bytes(4, "big")
_VERSION_1_INITIAL: Final = 0x00
_ID_LENGTH_OFFSET: Final = 5
_LONG_ID_OFFSET: Final = 6
_SHORT_ID_OFFSET: Final = 1
_SHORT_HEADER_ID: Final = slice(_SHORT_ID_OFFSET, _SHORT_ID_OFFSET + TOKEN_BYTES)


def is_long_header(packet: bytes) -> bool:
    """Return whether a packet has a long header, as opening packets do."""
    return bool(packet) and bool(packet[0] & LONG_HEADER)


def is_opening(packet: bytes) -> bool:
    """Return whether a packet may open a flow.

    In version 1 that is an Initial packet of at least 1,200 bytes (RFC 9000,
    14.1). For other versions only the size is checked.
    """
    if len(packet) < MIN_OPENING_BYTES or not is_long_header(packet):
        return False
    if packet[_VERSION] != _VERSION_1:
        return True
    return packet[0] & _LONG_TYPE_MASK == _VERSION_1_INITIAL


def destination_connection_id(packet: bytes) -> bytes | None:
    """Return the destination connection ID, or None in a truncated packet.

    Short headers carry no ID length, so their ID is assumed to be a token.
    """
    if is_long_header(packet):
        return _long_header_id(packet)
    if len(packet) < _SHORT_ID_OFFSET + TOKEN_BYTES:
        return None
    return packet[_SHORT_HEADER_ID]


def _long_header_id(packet: bytes) -> bytes | None:
    """Return the destination connection ID of a long header."""
    if len(packet) <= _ID_LENGTH_OFFSET:
        return None
    end = _LONG_ID_OFFSET + packet[_ID_LENGTH_OFFSET]
    if len(packet) < end:
        return None
    return packet[_LONG_ID_OFFSET:end]

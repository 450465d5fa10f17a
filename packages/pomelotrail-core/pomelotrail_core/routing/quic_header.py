"""The version-independent part of QUIC headers (RFC 8999)."""

from typing import Final

from .const import TOKEN_BYTES

MIN_OPENING_BYTES: Final = 1_200
LONG_HEADER: Final = 0x80

_LONG_TYPE: Final = 0x30
_VERSION: Final = slice(1, 5)
_VERSION_1: Final = (1).to_bytes(4, "big")
_INITIAL_TYPE_1: Final = 0x00
_LENGTH_AT: Final = 5
_LONG_ID_AT: Final = 6
_SHORT_ID_AT: Final = 1
SHORT_ID: Final = slice(_SHORT_ID_AT, _SHORT_ID_AT + TOKEN_BYTES)


def is_long_header(packet: bytes) -> bool:
    """Tell whether a packet has a long header, as opening packets do."""
    return bool(packet) and bool(packet[0] & LONG_HEADER)


def is_opening(packet: bytes) -> bool:
    """Tell whether a packet may open a flow.

    In version 1 that is an Initial packet of at least 1,200 bytes (RFC 9000,
    14.1). Of other versions only the size is known.
    """
    if len(packet) < MIN_OPENING_BYTES or not is_long_header(packet):
        return False
    if packet[_VERSION] != _VERSION_1:
        return True
    return packet[0] & _LONG_TYPE == _INITIAL_TYPE_1


def destination_connection_id(packet: bytes) -> bytes | None:
    """Return the destination connection ID, or None in a truncated packet.

    Short headers carry no length, so their ID is taken to be a token.
    """
    if is_long_header(packet):
        return _long_header_id(packet)
    if len(packet) < _SHORT_ID_AT + TOKEN_BYTES:
        return None
    return packet[SHORT_ID]


def _long_header_id(packet: bytes) -> bytes | None:
    """Return the destination connection ID of a long header."""
    if len(packet) <= _LENGTH_AT:
        return None
    end = _LONG_ID_AT + packet[_LENGTH_AT]
    if len(packet) < end:
        return None
    return packet[_LONG_ID_AT:end]

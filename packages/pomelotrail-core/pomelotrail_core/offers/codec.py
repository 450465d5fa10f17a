"""Encodes and decodes messages between balancers and companions."""

import zlib

import msgspec

from .messages import FleetMessage, ShortLookupReply

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FleetMessage)


def encode(message: FleetMessage | ShortLookupReply) -> bytes:
    """Return a message encoded as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> FleetMessage | None:
    """Return the message in a datagram, or None if it is malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None


def service_label(service: str) -> int:
    """Return the label that identifies the packets of a service."""
    return zlib.crc32(service.encode())

"""An IPv4 address with a port."""

import socket
import struct
from typing import Final, Self

import msgspec
from result import Err, Ok, Result

_PACKED: Final = struct.Struct("!4sH")

PACKED_ENDPOINT_BYTES: Final = _PACKED.size
MAX_PORT: Final = 65_535


def pack_address(address: tuple[str, int]) -> bytes:
    """Return an address of the socket functions packed in six bytes."""
    return _PACKED.pack(socket.inet_aton(address[0]), address[1])


def unpack_address(data: bytes) -> tuple[str, int]:
    """Return six packed bytes as an address for the socket functions."""
    packed_host, port = _PACKED.unpack(data)
    return socket.inet_ntoa(packed_host), port


class EndpointError(msgspec.Struct, frozen=True):
    """An error for a text that is not an endpoint."""

    text: str

    def __str__(self) -> str:
        """Return the invalid text and the allowed format."""
        return (
            f"{self.text!r} is not an endpoint; "
            "write an IPv4 address and a port from 1 to 65535, as 192.0.2.7:4433"
        )


class Endpoint(msgspec.Struct, frozen=True, order=True, cache_hash=True):
    """An IPv4 address and port, for example ``Endpoint("192.0.2.7", 4433)``."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Result[Self, EndpointError]:
        """Parse ``host:port``; an error states the allowed format."""
        host, _, port = str(text).rpartition(":")
        if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            return Err(EndpointError(str(text)))
        try:
            socket.inet_pton(socket.AF_INET, host)
        except (OSError, ValueError):
            return Err(EndpointError(str(text)))
        return Ok(cls(host, int(port)))

    @classmethod
    def unpack(cls, data: bytes) -> Self:
        """Return the endpoint from the six bytes of ``pack``."""
        return cls(*unpack_address(data))

    @property
    def socket_address(self) -> tuple[str, int]:
        """Return the address for the socket functions."""
        return (self.host, self.port)

    def pack(self) -> bytes:
        """Return the endpoint as six bytes in network order."""
        return pack_address((self.host, self.port))

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f"{self.host}:{self.port}"

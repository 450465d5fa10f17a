"""Contents of a ticket."""

import struct
from datetime import UTC, datetime, timedelta
from typing import Final, Self

import attrs

from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES, Endpoint

from .const import TICKET_NONCE_BYTES

_PACKED: Final = struct.Struct(f"!{PACKED_ENDPOINT_BYTES}sQHQ{TICKET_NONCE_BYTES}s")
_EPOCH: Final = datetime(1970, 1, 1, tzinfo=UTC)
_MICROSECOND: Final = timedelta(microseconds=1)

PACKED_TICKET_BYTES: Final = _PACKED.size


@attrs.frozen
class Ticket:
    """The executor of a request that must run at most once.

    ``executor`` is the control address of a companion; only that companion in
    that incarnation may run the request. ``issued_at`` is in the time of that
    incarnation, which never goes backwards while the process runs; the clocks of
    two processes are never compared.
    """

    executor: Endpoint
    incarnation: int
    service_number: int
    issued_at: datetime
    nonce: bytes

    @classmethod
    def unpack(cls, data: bytes) -> Self:
        """Return the ticket that ``pack`` encoded."""
        executor, incarnation, service_number, issued, nonce = _PACKED.unpack(data)
        return cls(
            Endpoint.unpack(executor),
            incarnation,
            service_number,
            _EPOCH + issued * _MICROSECOND,
            nonce,
        )

    def pack(self) -> bytes:
        """Return the ticket as ``PACKED_TICKET_BYTES`` bytes."""
        return _PACKED.pack(
            self.executor.pack(),
            self.incarnation,
            self.service_number,
            (self.issued_at - _EPOCH) // _MICROSECOND,
            self.nonce,
        )

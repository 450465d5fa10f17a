"""Seals tickets, so that only the fleet can make or read them.

A sealed ticket has one byte with the generation of the key and then AES-SIV
(RFC 5297) of the packed ticket, in URL-safe Base64 without padding. AES-SIV
needs no nonce of its own, so the number of tickets under one key is not
bounded by the birthday problem of short nonces. The keys are derived from the
token keys (HKDF, RFC 5869): operators rotate one set.
"""

import base64
import binascii
from typing import Final

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESSIV
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.kdf.hkdf import HKDF
from result import Err, Ok, Result

from pomelotrail_core.routing import TokenKeys

from .const import SEAL_KEY_BYTES, SEAL_PURPOSE, SIV_BYTES
from .errors import TicketError
from .messages import PACKED_TICKET_BYTES, Ticket

_SEALED_BYTES: Final = 1 + SIV_BYTES + PACKED_TICKET_BYTES


class TicketSealer:
    """Seals tickets with the current key and opens tickets of every known key.

    For example::

        text = sealer.seal(ticket)
        assert sealer.open(text) == Ok(ticket)
    """

    def __init__(self, keys: TokenKeys) -> None:
        """Derive a sealing key from each token key."""
        self._current = keys.current
        self._ciphers = {
            generation: AESSIV(_derive_key(key))
            for generation, key in keys.keys.items()
        }

    def seal(self, ticket: Ticket) -> str:
        """Return the ticket as the text of an ``Idempotency-Key``."""
        generation = bytes([self._current])
        cipher = self._ciphers[self._current]
        sealed = cipher.encrypt(ticket.pack(), [SEAL_PURPOSE, generation])
        return base64.urlsafe_b64encode(generation + sealed).rstrip(b"=").decode()

    def open(self, text: str) -> Result[Ticket, TicketError]:
        """Return the ticket in a text.

        ``NOT_A_TICKET`` means that no key of any generation can have made the
        text; ``UNREADABLE`` means that a removed key may have made it.
        """
        try:
            data = base64.b64decode(text + "=" * (-len(text) % 4), b"-_", validate=True)
        except (binascii.Error, ValueError):
            return Err(TicketError.NOT_A_TICKET)
        if len(data) != _SEALED_BYTES:
            return Err(TicketError.NOT_A_TICKET)
        cipher = self._ciphers.get(data[0])
        if cipher is None:
            return Err(TicketError.UNREADABLE)
        try:
            packed = cipher.decrypt(data[1:], [SEAL_PURPOSE, data[:1]])
        except InvalidTag:
            return Err(TicketError.UNREADABLE)
        return Ok(Ticket.unpack(packed))


def _derive_key(key: bytes) -> bytes:
    """Return the sealing key derived from a token key."""
    derivation = HKDF(SHA256(), SEAL_KEY_BYTES, salt=None, info=SEAL_PURPOSE)
    return derivation.derive(key)

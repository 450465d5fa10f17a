"""Authentication of datagrams between processes of the fleet with AES-GMAC.

GMAC (NIST SP 800-38D) requires that no nonce is used twice with the fleet key.
Nonces count up from 64 random bits, drawn when the process starts, followed by
32 zero bits, so two processes only collide if they draw adjacent numbers.
"""

import itertools
import os
from collections.abc import Callable, Sequence
from typing import Final

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from .const import NONCE_BYTES, NONCE_PREFIX_BYTES, TAG_BYTES

TRAILER_BYTES: Final = NONCE_BYTES + TAG_BYTES
Decrypt = Callable[[bytes, bytes, bytes], bytes]

_COUNT_BYTES: Final = NONCE_BYTES - NONCE_PREFIX_BYTES


class Authenticator:
    """Appends a nonce and a tag to datagrams and verifies them."""

    def __init__(self, key: bytes, accepted: Sequence[bytes] = ()) -> None:
        """Authenticate with a 32-byte key; ``accepted`` keys only verify."""
        cipher = AESGCM(key)
        self._encrypt = cipher.encrypt
        self._decrypt = cipher.decrypt
        self._accepted = [AESGCM(each).decrypt for each in accepted]
        self._count = itertools.count(_first_count())

    def seal(self, body: bytes) -> bytes:
        """Return the body followed by nonce and tag."""
        nonce = next(self._count).to_bytes(NONCE_BYTES, "big")
        return b"".join((body, nonce, self._encrypt(nonce, b"", body)))

    def accepts(self, datagram: bytes) -> bool:
        """Return whether a datagram was sealed with an accepted key."""
        nonce = datagram[-TRAILER_BYTES:-TAG_BYTES]
        tag = datagram[-TAG_BYTES:]
        body = datagram[:-TRAILER_BYTES]
        try:
            self._decrypt(nonce, tag, body)
        except InvalidTag:
            return any(_is_valid(each, nonce, tag, body) for each in self._accepted)
        return True


def _is_valid(decrypt: Decrypt, nonce: bytes, tag: bytes, body: bytes) -> bool:
    """Return whether a tag was made with the key of ``decrypt``."""
    try:
        decrypt(nonce, tag, body)
    except InvalidTag:
        return False
    return True


def _first_count() -> int:
    """Return the initial nonce counter of this process."""
    prefix = int.from_bytes(os.urandom(NONCE_PREFIX_BYTES), "big")
    return prefix << 8 * _COUNT_BYTES

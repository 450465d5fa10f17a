"""Constants of the tickets slice."""

from typing import Final

TICKET_NONCE_BYTES: Final = 12
SEAL_KEY_BYTES: Final = 32
SEAL_BYTES: Final = 16
SEAL_PURPOSE: Final = b"pomelotrail ticket 1"

"""Constants of tickets."""

from typing import Final

TICKET_NONCE_BYTES: Final = 12
SEAL_KEY_BYTES: Final = 32
SIV_BYTES: Final = 16
SEAL_PURPOSE: Final = b"pomelotrail ticket 1"

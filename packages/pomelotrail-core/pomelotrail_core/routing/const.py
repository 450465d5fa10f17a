"""Constants for routing."""

from typing import Final

TOKEN_BYTES: Final = 20
TOKEN_KEY_BYTES: Final = 16
FLEET_KEY_BYTES: Final = 32
MAX_KEY_GENERATION: Final = 3
MAX_CANDIDATES: Final = 4
NONCE_PREFIX_BYTES: Final = 8
NONCE_BYTES: Final = 12
TAG_BYTES: Final = 16

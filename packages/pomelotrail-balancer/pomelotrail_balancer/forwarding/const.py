"""Constants of forwarding."""

from typing import Final

OWNER_CACHE_ENTRIES: Final = 16_384

"""Constants of the time line."""

from typing import Final

RING_EVENTS: Final = 20_000

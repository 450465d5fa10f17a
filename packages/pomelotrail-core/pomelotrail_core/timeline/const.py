"""Constants for the timeline."""

from datetime import timedelta
from typing import Final

SUBJECT_RING_EVENTS: Final = 20_000
STATE_RING_EVENTS: Final = 2_000
CLOCK_EXCHANGES: Final = 5
MAX_CONCURRENT_READS: Final = 64
READ_TIMEOUT: Final = timedelta(seconds=3)

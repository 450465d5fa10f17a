"""Constants of the waking slice."""

from datetime import timedelta
from typing import Final

TICK: Final = timedelta(milliseconds=250)
LONGEST_GAP: Final = timedelta(seconds=1)
LONGEST_HOLD: Final = timedelta(seconds=2)
CHECK_RETRY: Final = timedelta(milliseconds=300)

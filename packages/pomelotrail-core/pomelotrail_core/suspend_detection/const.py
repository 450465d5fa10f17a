"""Constants for suspend detection."""

from datetime import timedelta
from typing import Final

TICK_INTERVAL: Final = timedelta(milliseconds=250)
MAX_TICK_GAP: Final = timedelta(seconds=1)
MAX_TRAFFIC_PAUSE: Final = timedelta(seconds=2)
CHECK_RETRY_DELAY: Final = timedelta(milliseconds=300)

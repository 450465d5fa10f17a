"""Constants of the spread of configuration and suspicion."""

from datetime import timedelta
from typing import Final

READERS_PER_ZONE: Final = 3
FAN_OUT: Final = 6
MAX_CHILDREN: Final = 20
PARENT_SLOTS: Final = 2
CANDIDATES_PER_TIER: Final = 4

BEAT: Final = timedelta(seconds=3)
SILENCE: Final = timedelta(seconds=5)
RETRY_MIN: Final = timedelta(milliseconds=200)
RETRY_MAX: Final = timedelta(seconds=2)
FETCH_TIMEOUT: Final = timedelta(seconds=3)
DISTRUST: Final = timedelta(seconds=60)

# Above the longest time between two answers to a healthy reader.
STALE_AFTER: Final = timedelta(seconds=25)
SERVICE_CALLS_PER_S: Final = 2_000
# The rest is for readers, and for the parts that a poll finds changed.
FALLBACK_CALLS_PER_S: Final = 600
FALLBACK_MIN: Final = timedelta(seconds=2)
READER_RETRY_MIN: Final = timedelta(milliseconds=250)
READER_RETRY_MAX: Final = timedelta(seconds=1)

HISTORY_DELTAS: Final = 16
HISTORY_BYTES: Final = 64_000
COMPARE_INTERVAL: Final = timedelta(seconds=10)
COMPARISONS_WITH_ONE_PEER: Final = 60
KEPT_CHANNELS: Final = 4
COMPARED_PEERS: Final = 3
COMPARE_TIMEOUT: Final = timedelta(seconds=1)

VIEW_EXPIRY: Final = timedelta(seconds=60)
MAX_REFUSED: Final = 16

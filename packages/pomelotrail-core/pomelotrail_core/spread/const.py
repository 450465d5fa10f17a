"""Constants for distributing configuration and suspicion."""

from datetime import timedelta
from typing import Final

READERS_PER_ZONE: Final = 3
FAN_OUT: Final = 6
MAX_CHILDREN: Final = 20
PARENT_SLOTS: Final = 2
CANDIDATES_PER_TIER: Final = 4

KEEPALIVE_INTERVAL: Final = timedelta(seconds=3)
PARENT_TIMEOUT: Final = timedelta(seconds=5)
RETRY_MIN: Final = timedelta(milliseconds=200)
RETRY_MAX: Final = timedelta(seconds=2)
FETCH_TIMEOUT: Final = timedelta(seconds=3)
UNTRUSTED_DURATION: Final = timedelta(seconds=60)

# Longer than the longest interval between two answers to a healthy reader.
STALE_AFTER: Final = timedelta(seconds=25)
SERVICE_CALLS_PER_S: Final = 2_000
# The rest of SERVICE_CALLS_PER_S is reserved for readers and for fetching the
# document parts that a poll reports as changed.
FALLBACK_CALLS_PER_S: Final = 600
FALLBACK_INTERVAL_MIN: Final = timedelta(seconds=2)
READER_RETRY_MIN: Final = timedelta(milliseconds=250)
READER_RETRY_MAX: Final = timedelta(seconds=1)

HISTORY_DELTAS: Final = 16
HISTORY_BYTES: Final = 64_000
COMPARE_INTERVAL: Final = timedelta(seconds=10)
COMPARISONS_PER_PEER: Final = 60
MAX_CACHED_CHANNELS: Final = 4
COMPARED_PEERS: Final = 3
COMPARE_TIMEOUT: Final = timedelta(seconds=1)

VIEW_EXPIRY: Final = timedelta(seconds=60)
MAX_REFUSED: Final = 16

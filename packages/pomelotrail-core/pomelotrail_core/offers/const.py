"""Constants of the messages between balancers and companions."""

from datetime import timedelta
from typing import Final

# A probe request for so many servers, with a packet of 1,200 bytes, stays below
# 1,700 bytes.
MAX_PROBES_PER_REQUEST: Final = 64
# Entries that the store lost in an outage, or by a restore, are written again within
# this time. Balancers apply it to their directories and companions report it.
MISSING_ENTRY_GRACE: Final = timedelta(seconds=2)
MISSING_ENTRY_GRACE_MS: Final = MISSING_ENTRY_GRACE // timedelta(milliseconds=1)
# Counters by priority name this one and all lower ones together, so that operators'
# numbers don't make any number of metrics.
LOWEST_COUNTED_PRIORITY: Final = 9
# Ranges of the values in offers. The configuration and the entries of servers have the
# same ones.
MAX_COUNT: Final = 1_000_000
MAX_DURATION_MS: Final = 86_400_000

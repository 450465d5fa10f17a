"""Constants of the admission by wait."""

from datetime import timedelta
from typing import Final

# Covers bursts of callers and the time in which a backlog of an outage is served; a
# longer window would take the time before them for the present.
SHARE_WINDOW: Final = timedelta(milliseconds=1_500)
# With less of the server's time left than this, the expected wait is without meaning.
MIN_SHARE_LEFT: Final = 0.02
# Limits the memory for waiting requests of services that work for less than 1 ms, and
# the time to decide on an offer, which grows with the requests.
MAX_QUEUED_PER_SLOT: Final = 500

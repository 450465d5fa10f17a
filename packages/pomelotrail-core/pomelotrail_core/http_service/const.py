"""Constants of the HTTP service."""

from datetime import timedelta
from typing import Final

# Requests have no body and few headers.
READ_BYTES: Final = 8_192
# Closes connections of peers that went silent; probes come twice per second.
IDLE_TIMEOUT: Final = timedelta(seconds=15)
MAX_CONNECTIONS: Final = 64
# A peer that sends more requests than this at once is answered and closed.
MAX_PENDING_REQUESTS: Final = 16

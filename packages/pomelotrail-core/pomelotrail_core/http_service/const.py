"""Constants of the HTTP service."""

from datetime import timedelta
from typing import Final

# Requests have no body and few headers.
READ_BYTES: Final = 8_192
# Closes connections of idle clients; probes arrive twice per second.
IDLE_TIMEOUT: Final = timedelta(seconds=15)
MAX_CONNECTIONS: Final = 64
# A client that pipelines this many requests is answered and then disconnected.
MAX_PENDING_REQUESTS: Final = 16
# Probes and scrapes have some hundred bytes.
MAX_REQUEST_BYTES: Final = 65_536

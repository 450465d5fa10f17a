"""Constants of the backend client."""

from datetime import timedelta
from typing import Final

CONNECT_TIMEOUT: Final = timedelta(seconds=2)
RUN_ONCE_GRACE: Final = timedelta(seconds=30)
SHED_RETRY_AFTER: Final = timedelta(seconds=1)
DEADLINE_HEADER: Final = "request-deadline-ms"
REQUEST_ID_HEADER: Final = "request-id"
SHED_HEADER: Final = "request-shed"
SHED_STATUS: Final = 503
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
OWN_REQUEST_HEADERS: Final = frozenset({REQUEST_ID_HEADER, DEADLINE_HEADER})
OWN_ANSWER_HEADERS: Final = frozenset({"request-outcome", "idempotency-keys"})
AUTOMATIC_HEADERS: Final = ("Accept", "Accept-Encoding", "Content-Type", "User-Agent")
NO_BODY_STATUSES: Final = frozenset({204, 304})
CHUNK_BYTES: Final = 65_536
HEALTH_INTERVAL: Final = timedelta(seconds=1)
HEALTH_TIMEOUT: Final = timedelta(seconds=1)

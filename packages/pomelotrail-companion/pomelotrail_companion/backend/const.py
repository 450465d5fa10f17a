"""Constants of the backend slice."""

from datetime import timedelta
from typing import Final

CONNECT_TIMEOUT: Final = timedelta(seconds=2)
DEADLINE_HEADER: Final = "request-deadline-ms"
REQUEST_ID_HEADER: Final = "request-id"
HOP_HEADERS: Final = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "upgrade", "te", "trailer"}
)
PIECE_BYTES: Final = 65_536

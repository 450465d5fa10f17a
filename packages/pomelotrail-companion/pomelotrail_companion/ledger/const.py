"""Constants of the ledger."""

from datetime import timedelta
from typing import Final

TICKET_WINDOW: Final = timedelta(minutes=30)
MAX_ENTRIES: Final = 50_000
MAX_KEPT_BYTES: Final = 67_108_864
MAX_ANSWER_BYTES: Final = 65_536
MAX_BUFFERED_BODY_BYTES: Final = 65_536
FINGERPRINT_BYTES: Final = 16
OFFERED_TICKET_COUNT: Final = 2
MAX_HOPS: Final = 3
MAX_PEERS_TRIED: Final = 2
MAX_PIPE_CHUNKS: Final = 4
EXECUTION_GRACE: Final = timedelta(seconds=30)
PEER_RESPONSE_TIMEOUT: Final = timedelta(seconds=2)
RETRY_AFTER: Final = timedelta(seconds=1)

TICKET_HEADER: Final = "idempotency-key"
OFFERED_TICKETS_HEADER: Final = "idempotency-keys"
MAX_AGE_HEADER: Final = "idempotency-keys-max-age"
MAX_CHANNELS: Final = 64
RELAY_WINDOW_BYTES: Final = 262_144

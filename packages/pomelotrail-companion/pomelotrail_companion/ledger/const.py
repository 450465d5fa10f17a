"""Constants of the ledger slice."""

from datetime import timedelta
from typing import Final

TICKET_WINDOW: Final = timedelta(minutes=30)
MAX_ENTRIES: Final = 50_000
MAX_KEPT_BYTES: Final = 67_108_864
MAX_ANSWER_BYTES: Final = 65_536
HELD_BODY_BYTES: Final = 65_536
FINGERPRINT_BYTES: Final = 16
OFFERED_TICKETS: Final = 2
MAX_HOPS: Final = 3
MAX_PEERS_TRIED: Final = 2
PIPE_PIECES: Final = 4
EXECUTION_GRACE: Final = timedelta(seconds=30)
REACH_TIMEOUT: Final = timedelta(seconds=2)
ASK_AGAIN: Final = timedelta(seconds=1)

TICKET_HEADER: Final = "idempotency-key"
OFFERED_TICKETS_HEADER: Final = "idempotency-keys"
MAX_AGE_HEADER: Final = "idempotency-keys-max-age"
MAX_CHANNELS: Final = 64
RELAY_WINDOW_BYTES: Final = 262_144

"""Constants of the caller edge."""

from datetime import timedelta
from typing import Final

MAX_HOPS: Final = 4
MIN_OPENING_BYTES: Final = 1200
IDLE_TIMEOUT: Final = timedelta(minutes=3)
SEND_HIGH_WATER_BYTES: Final = 262_144
SEND_POLL_INTERVAL: Final = timedelta(milliseconds=5)
ALPN_HTTP3: Final = ("h3",)
ISSUED_CONNECTION_IDS: Final = 8
STATELESS_RESET_BYTES: Final = 16
RETURN_PATH_MAX_AGE: Final = timedelta(milliseconds=250)
PASS_ON_TTL: Final = timedelta(seconds=3)
MAX_PASS_ON_ENTRIES: Final = 16_384
HANDSHAKE_TIMEOUT: Final = timedelta(seconds=10)
RECEIVE_WINDOW_BYTES: Final = 262_144
MAX_STREAM_DATA_FRAME_BYTES: Final = 17
RELEASE_DELAY: Final = timedelta(milliseconds=100)

"""Constants for the configuration."""

from datetime import timedelta
from typing import Final

MAX_DOCUMENT_BYTES: Final = 1_000_000
MAX_STREAM_BYTES: Final = 16_000_000
DIGEST_BYTES: Final = 16
# Packets and calls carry versions and counts in fields of 64 and 32 bits.
MAX_VERSION: Final = 2**63 - 1
MAX_COUNT: Final = 2**31 - 1
MAX_ZONE_NUMBER: Final = 255
MAX_SERVICE_NUMBER: Final = 65_535
LONG_POLL_TIMEOUT: Final = timedelta(seconds=10)
SERVICE_TIMEOUT: Final = timedelta(seconds=5)
DEFAULT_DEADLINE: Final = "30 s"
DEFAULT_BODY_LIMIT_BYTES: Final = 8_388_608
VERSION_HEADER: Final = "Configuration-Version"
MAX_REFUSED_DIGESTS: Final = 8
PART_CALL_BURST: Final = 20
PART_CALL_INTERVAL: Final = timedelta(milliseconds=500)

"""Constants of draining."""

from datetime import timedelta
from typing import Final

LEAVING_NOTICE_PERIOD: Final = timedelta(seconds=2)
DRAIN_POLL_INTERVAL: Final = timedelta(milliseconds=50)
CLOSE_GRACE_PERIOD: Final = timedelta(milliseconds=200)
RETRY_AFTER: Final = timedelta(seconds=1)

"""Constants of the draining slice."""

from datetime import timedelta
from typing import Final

LEAVING_NOTICE: Final = timedelta(seconds=2)
DRAIN_POLL: Final = timedelta(milliseconds=50)
CLOSE_GRACE: Final = timedelta(milliseconds=200)
RETRY_AFTER: Final = timedelta(seconds=1)

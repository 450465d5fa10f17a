"""Constants of the start of a process."""

from datetime import timedelta
from typing import Final

# How long a start waits for an address that a predecessor still holds. A graceful
# stop of a process without open flows ends well within it.
ADDRESS_WAIT: Final = timedelta(seconds=30)
ADDRESS_RETRY_INTERVAL: Final = timedelta(milliseconds=250)

# How long a start waits for files that are absent, unusable or just being replaced.
FILES_WAIT: Final = timedelta(seconds=10)
FILES_RETRY_INTERVAL: Final = timedelta(milliseconds=250)
# Files that haven't changed for this long are not being written.
FILES_SETTLED: Final = timedelta(seconds=5)

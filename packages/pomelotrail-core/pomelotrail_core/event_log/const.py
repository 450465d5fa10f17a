"""Constants of the event log."""

from datetime import timedelta
from typing import Final

# Maximum lines of one kind in an interval; a busy balancer makes about
# 250 decisions per second at current fleet sizes.
LINES_PER_INTERVAL: Final = 400
RATE_LIMIT_INTERVAL: Final = timedelta(seconds=1)
# Bytes buffered for a slow reader; about one second of output at the full rate.
MAX_BUFFERED_BYTES: Final = 262_144
# Lines are written in batches to save system calls; a process that is killed
# loses the lines of this period.
FLUSH_DELAY: Final = timedelta(milliseconds=100)
# Bytes passed to one write, about what a pipe holds; bounds the copy of the lines.
MAX_WRITE_BYTES: Final = 65_536
# A write that failed (reader gone, device full) is tried again after this time.
RETRY_INTERVAL: Final = timedelta(seconds=1)
# The end of a process waits so long for a slow reader of its last lines, a sixth of the
# shortest time that the platform gives it to stop.
DRAIN_TIMEOUT: Final = timedelta(seconds=1)
DRAIN_INTERVAL: Final = timedelta(milliseconds=10)

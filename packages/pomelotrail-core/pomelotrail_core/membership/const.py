"""Constants of membership."""

from datetime import timedelta
from typing import Final

MONITORS: Final = 3
HEARTBEAT: Final = timedelta(seconds=3)
SUSPECT_AFTER: Final = timedelta(seconds=8)
# After the stream of a companion has ended, it has this long to come back.
RECONNECT_WITHIN: Final = timedelta(seconds=2)
CONNECT_RETRY: Final = timedelta(seconds=1)
SWEEP: Final = timedelta(seconds=1)

TRUST_AFTER_MIN: Final = timedelta(seconds=6)
TRUST_AFTER_MAX: Final = timedelta(minutes=5)
# A companion that has been steady this long starts again with the shortest wait.
STEADY_AFTER: Final = timedelta(minutes=10)

REPORT_PAUSE: Final = timedelta(seconds=2)
REPORT_REFRESH_MIN: Final = timedelta(seconds=15)
REPORTS_PER_S: Final = 10
REPORT_KEPT_FOR: Final = 3

# What one view carries at most; zones that fail whole are one number each.
MAX_SUSPECTED: Final = 64
ZONE_SHARE: Final = 0.5
VIEW_PAUSE: Final = timedelta(seconds=2)

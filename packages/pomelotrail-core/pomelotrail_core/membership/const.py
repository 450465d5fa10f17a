"""Constants for membership."""

from datetime import timedelta
from typing import Final

MONITORS_PER_COMPANION: Final = 3
HEARTBEAT_INTERVAL: Final = timedelta(seconds=3)
HEARTBEAT_TIMEOUT: Final = timedelta(seconds=8)
# Time that a companion has to reconnect after its stream ends.
RECONNECT_TIMEOUT: Final = timedelta(seconds=2)
RECONNECT_DELAY: Final = timedelta(seconds=1)
SWEEP_INTERVAL: Final = timedelta(seconds=1)

TRUST_AFTER_MIN: Final = timedelta(seconds=6)
TRUST_AFTER_MAX: Final = timedelta(minutes=5)
# After being stable this long, a companion is trusted again after the shortest delay.
STABLE_AFTER: Final = timedelta(minutes=10)

REPORT_INTERVAL_MIN: Final = timedelta(seconds=2)
REPORT_REFRESH_MIN: Final = timedelta(seconds=15)
REPORTS_PER_S: Final = 10
REPORT_EXPIRY_REFRESHES: Final = 3

# Maximum number of companions in one view; a zone that fails as a whole is sent as
# one number.
MAX_SUSPECTED: Final = 64
ZONE_SUSPICION_SHARE: Final = 0.5
VIEW_INTERVAL_MIN: Final = timedelta(seconds=5)

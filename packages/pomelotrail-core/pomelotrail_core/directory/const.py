"""Constants of the directory."""

from datetime import timedelta
from typing import Final

# A watch whose connection is lost times out after the wait plus the margin.
WATCH_WAIT: Final = timedelta(seconds=4)
WATCH_TIMEOUT_MARGIN: Final = timedelta(seconds=1)
# Half of the time after which a watch times out: an answer that is lost before or after
# is noticed within this time, less than the 3 s in which a change must be in force.
WATCH_CHECK_AFTER: Final = (WATCH_WAIT + WATCH_TIMEOUT_MARGIN) / 2
# An answer that is under way when the revision is checked arrives within this time,
# also from a store that is 60 times slower than usual.
ANSWER_GRACE: Final = timedelta(milliseconds=250)
# Between two calls, and after a failed one, the source may begin a new era. The next
# answer tells, even if there is nothing to report, so it must not take long.
WATCH_WAIT_AFTER_PAUSE: Final = timedelta(seconds=1)
# Balancers that don't reach the store open flows by an old version of the configuration
# for up to this time: the longest that operators tolerate.
MAX_CONFIGURATION_LAG: Final = timedelta(seconds=20)
LIST_TIMEOUT: Final = timedelta(seconds=1)
# Changes in quick succession are read by one call. The limits that operators set on
# the time until a change is in force are 3 s or more.
CHANGE_BATCH_WINDOW: Final = timedelta(milliseconds=800)
# Time in which a change is read: a batch of changes and a call.
READ_DELAY: Final = CHANGE_BATCH_WINDOW + timedelta(milliseconds=200)
# The retry delay doubles after each failed call, up to the maximum.
INITIAL_RETRY_DELAY: Final = timedelta(milliseconds=100)
MAX_RETRY_DELAY: Final = timedelta(milliseconds=800)
# A process without a configuration can't serve any flow, so it retries more often.
MAX_RETRY_DELAY_UNCONFIGURED: Final = timedelta(milliseconds=200)
RETRY_JITTER: Final = 0.5
# Revision checks requested within this time share a call.
CHECK_INTERVAL: Final = timedelta(milliseconds=20)
# Minimum time between calls: each call is billed, and after a power loss every open
# flow requests one.
CHECK_COOLDOWN: Final = timedelta(milliseconds=150)
CHECK_TIMEOUT: Final = timedelta(milliseconds=400)
# With the timeout above, a silent watch is checked three times before it times out.
CHECK_RETRY_INTERVAL: Final = timedelta(milliseconds=400)
# A missing entry is attributed to an outage for this long after the outage ended.
OUTAGE_ATTRIBUTION_WINDOW: Final = timedelta(seconds=4)
# Operators may write the evacuation of a zone again later than servers write their
# entries. Until then the zone must get no new flows.
MISSING_ZONE_GRACE: Final = timedelta(seconds=10)
# Servers crash one by one, or a zone of three or more at once. When at least this
# number and this share of the ready servers go missing together without having been
# marked as leaving, their entries expired in an outage that ended before a call failed.
OUTAGE_MIN_LOST: Final = 3
OUTAGE_LOST_SHARE: Final = 0.4

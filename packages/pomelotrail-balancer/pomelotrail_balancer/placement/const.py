"""Constants of placement."""

from datetime import timedelta
from typing import Final

# Used for a companion that hasn't reported how long its server works on a request.
INITIAL_WORK_ESTIMATE: Final = timedelta(milliseconds=60)
# Reports outside these ranges are not believed. A backend server has up to 2,000 flows,
# each with one request, and the timeout of the longest request is 12 s.
MAX_REPORTED_REQUESTS: Final = 100_000
MAX_REPORTED_WORK: Final = timedelta(seconds=60)
# A queue of the largest number of requests at the longest processing time.
MAX_REPORTED_WAIT: Final = MAX_REPORTED_REQUESTS * MAX_REPORTED_WORK
# An open flow counts as this fraction of a request in progress: callers that keep
# flows open send about one request of 60 ms per second.
OPEN_FLOW_LOAD: Final = 0.06
# A hop to another availability zone counts as this fraction of a busy slot.
OTHER_ZONE_LOAD: Final = 0.3
# The least loaded of this many is nearly the least loaded of all, and a lookup that
# queries them first stays small on a 5 Mbit/s link.
PREFERRED_IN_ZONE: Final = 4
PREFERRED_IN_OTHER_ZONES: Final = 3
# After the preferred companions, this many others are offered a flow for a free slot.
MAX_OTHERS_DECLINED: Final = 2
# Companions that declined to queue a flow on time; their reports are as old as those of
# the others, so more offers would hardly find room.
MAX_ON_TIME_DECLINED: Final = 3
# Companions that declined a late flow although they had the least work.
MAX_LATE_DECLINED: Final = 3
# Used for a flow whose route has no timeout.
DEFAULT_TARGET: Final = timedelta(milliseconds=250)
DEFAULT_MAX_WAIT: Final = timedelta(seconds=1)
# A flow may wait for this share of its route's timeout. The rest is left for its
# request and for errors of the estimate.
MAX_WAIT_SHARE: Final = 0.4
# Limits the memory for waiting requests of services that work for less than 1 ms.
MAX_REQUESTS_PER_SLOT: Final = 500
# Speeds are compared with the work time that this share of the peers stays below. With
# the median, servers would count as fast although most others are slow; and of a few
# servers that answer quickly because they fail, the fastest would be the measure.
SPEED_REFERENCE_SHARE: Final = 0.25
# With fewer peers, one of them would be the measure of all others.
MIN_SPEED_PEERS: Final = 4
# Equal servers appear to differ by this factor, as averages of a few requests do.
SPEED_TOLERANCE: Final = 1.35
# Even a server that is slowed many times over gets a flow when all others are full.
MIN_SPEED: Final = 0.125
# A report counts in full for the first time, and not at all after the second: then the
# server gets a flow, whose reply tells whether it is still slow. A balancer offers a
# flow to one of many servers every few seconds. While servers are busy, slow ones get
# flows in any case.
SPEED_TRUSTED_FOR: Final = timedelta(seconds=8)
SPEED_KEPT_FOR: Final = timedelta(seconds=24)
# Comparing takes milliseconds with many servers, and each has a new report every few
# seconds only.
SPEED_REFRESH_INTERVAL: Final = timedelta(milliseconds=500)
# A speed is logged when it has changed by this factor.
LOGGED_SPEED_CHANGE: Final = 1.25
# The mix of a server's routes is taken from about its last ten reports.
ROUTE_REPORT_WEIGHT: Final = 0.1
# A route that 30 reports don't mention is forgotten.
MIN_ROUTE_SHARE: Final = 0.005

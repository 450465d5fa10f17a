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

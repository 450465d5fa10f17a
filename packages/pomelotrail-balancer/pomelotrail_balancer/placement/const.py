"""Constants of placement."""

from datetime import timedelta
from typing import Final

# A slot completes about one request in this time; the reported requests per slot,
# multiplied by it, give the time until the reported load is completed.
TYPICAL_REQUEST_DURATION: Final = timedelta(milliseconds=60)
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
# Limit of running and waiting requests per slot up to which waiting is better than a
# refusal: at 100 ms each, a request waits for less than half the shortest timeout.
MAX_REQUESTS_PER_SLOT: Final = 16

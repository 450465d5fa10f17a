"""Constants of the request queue."""

from datetime import timedelta
from typing import Final

# Used until the first response; requests of the services take 5 to 80 ms.
INITIAL_ESTIMATE: Final = timedelta(milliseconds=60)
# Averages about the last ten responses.
ESTIMATE_WEIGHT: Final = 0.1
# The times of requests are skewed; few exceed the mean by more than two deviations.
UPPER_BOUND_DEVIATIONS: Final = 2
# Network round trip between caller and backend server.
ROUND_TRIP_TIME: Final = timedelta(milliseconds=10)
# Used for flows from before a restart of this process, whose class is unknown.
DEFAULT_PRIORITY: Final = 100
DEFAULT_TARGET: Final = timedelta(milliseconds=250)
# Averages about this many responses of a route. Single requests of one kind differ by
# half their mean, which leaves an error of an eighth.
SPEED_RESPONSES: Final = 20
# Older responses say little about the server's present speed. At the full rate of a
# slow server, the average covers twice as many responses as it needs.
MIN_SPEED_WINDOW: Final = timedelta(seconds=4)
SPEED_WINDOW_WORK_FACTOR: Final = 40
# Below this many recent responses, the average is mostly chance: one long request among
# three doubles it.
MIN_SPEED_RESPONSES: Final = 8.0
# Averages of less than half a response start anew.
MIN_KEPT_EVIDENCE: Final = 0.5
# A few requests take many times as long as the others of their kind. They count as
# this multiple of the average, which still follows a server that slows down.
MAX_RESPONSE_FACTOR: Final = 3
# Bounds the memory; servers of a service are reached at a few addresses.
MAX_ROUTES: Final = 256
# Averages about this many responses at each number of concurrent requests.
LEVEL_RESPONSES: Final = 50
MIN_LEVEL_RESPONSES: Final = 10.0
# Without responses at a number of concurrent requests, what is known of it fades.
MIN_LEVEL_WINDOW: Final = timedelta(seconds=10)
LEVEL_WINDOW_WORK_FACTOR: Final = 100
# More concurrent requests have to bring at least this share of the answers that they
# would bring if they took no longer.
MIN_GAIN_SHARE: Final = 0.25
# Servers with many slots are observed at this many numbers of concurrent requests.
MAX_LEVELS: Final = 16

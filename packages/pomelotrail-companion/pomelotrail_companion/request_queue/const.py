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

"""Constants of the goodput measurement."""

from typing import Final

# The burst lasts long enough for queues to settle. Figures are of the windows in which
# it lasts the whole time, after the first that it reaches.
BURST_START_S: Final = 5.0
BURST_DURATION_S: Final = 16.0
FIRST_WINDOW_S: Final = 8
LAST_WINDOW_S: Final = 18
WINDOW_S: Final = 2

"""Constants of counters and histograms."""

from typing import Final

METRIC_PREFIX: Final = "pomelotrail"
# Upper bounds in seconds: from a hop within a zone to the timeout of a caller.
LATENCY_BOUNDS_S: Final = (
    *(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02),
    *(0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0),
)

"""Constants of the metrics."""

from datetime import timedelta
from typing import Final

METRIC_PREFIX: Final = "pomelotrail"
# How often an address that another program holds is tried again.
SERVE_RETRY_INTERVAL: Final = timedelta(seconds=5)

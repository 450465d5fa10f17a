"""Constants of background tasks."""

from datetime import timedelta
from typing import Final

# Delay before a failed task starts again; doubled at each failure in a row.
RESTART_DELAY_MIN: Final = timedelta(seconds=1)
RESTART_DELAY_MAX: Final = timedelta(seconds=30)

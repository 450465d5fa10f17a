"""When this process started, by the time of day.

The first module of a program should be the one that imports this.
"""

from datetime import UTC, datetime
from typing import Final

PROCESS_STARTED: Final = datetime.now(UTC)

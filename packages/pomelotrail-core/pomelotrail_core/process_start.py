"""The wall-clock time at which this process started.

The first module of a program should import this one.
"""

from datetime import UTC, datetime
from typing import Final

PROCESS_STARTED: Final = datetime.now(UTC)

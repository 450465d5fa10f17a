"""Exit codes and limits of the command line."""

from datetime import timedelta
from typing import Final

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
PROCESS_TIMEOUT: Final = timedelta(seconds=3)

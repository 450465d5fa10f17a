"""Log lines of absl with a fixed prefix for each part of the system."""

import logging
import sys
from collections.abc import MutableMapping
from typing import Any

from absl import logging as absl_logging


class _PrefixAdapter(logging.LoggerAdapter):
    """Puts the prefix of a part in front of each line."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Add the prefix to one line."""
        return f"{self.extra['part']}: {msg}", kwargs


def get_logger(part: str) -> logging.LoggerAdapter:
    """Return the logger of one part, for example ``get_logger("edge")``."""
    return _PrefixAdapter(absl_logging.get_absl_logger(), {"part": part})


def set_up_logs(level: str) -> None:
    """Send log lines of the given level and above to standard error."""
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
    absl_logging.get_absl_handler().python_handler.stream = sys.stderr

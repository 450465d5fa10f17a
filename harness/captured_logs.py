"""Log lines of the code under test."""

import contextlib
import logging
import unittest
from collections.abc import Iterator


@contextlib.contextmanager
def captured_logs(test: unittest.TestCase, level: str = "WARNING") -> Iterator[list]:
    """Collect the lines logged in this context; without any, the test fails.

    The test run disables all logs, so they are enabled in the context::

        with captured_logs(self) as lines:
            ...
        self.assertIn("waiting", lines[0])
    """
    disabled = logging.root.manager.disable
    logging.disable(logging.NOTSET)
    try:
        with test.assertLogs("absl", level) as captured:
            yield captured.output
    finally:
        logging.disable(disabled)

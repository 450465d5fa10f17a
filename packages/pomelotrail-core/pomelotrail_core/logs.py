"""Log lines of absl with a fixed prefix for each part of the system."""

import json
import logging
import sys
from collections.abc import MutableMapping
from datetime import UTC, datetime, timedelta
from typing import Any, Final

import attrs
from absl import flags
from absl import logging as absl_logging

from pomelotrail_core.clock import Clock, SystemClock

TEXT_LOGS: Final = "text"
JSON_LOGS: Final = "json"
REPEAT_INTERVAL: Final = timedelta(seconds=10)
LINES_PER_INTERVAL: Final = 5
MAX_PLACES: Final = 1_000
LIBRARY_LOGGERS: Final = ("aiohttp", "asyncio", "quic")


class _PrefixAdapter(logging.LoggerAdapter):
    """Puts the prefix of a part in front of each line."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Add the prefix to one line, and name the part for structured logs."""
        part = self.extra["part"]
        return f"{part}: {msg}", {**kwargs, "extra": {"part": part}}


@attrs.define
class _Interval:
    """How many lines came from one place in the interval under way."""

    began: timedelta
    passed: int = 0
    left_out: int = 0


class PartFilter(logging.Filter):
    """Puts the name of its library in front of a line that has no part."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Name the part of one line; every line passes."""
        if not hasattr(record, "part"):
            record.part = record.name
            record.msg = f"{record.name}: {record.msg}"
        return True


class RepeatFilter(logging.Filter):
    """Lets few lines from the same place in the code pass in each interval.

    Under overload the same line would come thousands of times a second. The
    first line of the next interval says how many were left out::

        edge: Request f1-0 failed (1,203 like it left out)
    """

    def __init__(self, clock: Clock) -> None:
        """Measure the intervals by ``clock``."""
        super().__init__()
        self._clock = clock
        self._intervals: dict[str, _Interval] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Tell whether a line passes; it may get a note on those left out."""
        place = f"{record.pathname}:{record.lineno}"
        now = self._clock.monotonic()
        interval = self._intervals.get(place)
        if interval is None or now - interval.began >= REPEAT_INTERVAL:
            left_out = interval.left_out if interval is not None else 0
            interval = self._begin(place, now)
            if left_out:
                record.msg = f"{record.msg} ({left_out:,} like it left out)"
        if interval.passed >= LINES_PER_INTERVAL:
            interval.left_out += 1
            return False
        interval.passed += 1
        return True

    def _begin(self, place: str, now: timedelta) -> _Interval:
        """Start a new interval for a place."""
        if len(self._intervals) >= MAX_PLACES:
            self._intervals.clear()
        interval = _Interval(now)
        self._intervals[place] = interval
        return interval


class JsonFormatter(logging.Formatter):
    """Writes each line as one JSON object with time, level, part and message."""

    def format(self, record: logging.LogRecord) -> str:
        """Return one line."""
        part = getattr(record, "part", "")
        message = record.getMessage()
        content = {
            "at": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname.lower(),
            "part": part,
            "message": message.removeprefix(f"{part}: "),
        }
        if record.exc_info:
            content["exception"] = self.formatException(record.exc_info)
        return json.dumps(content)


def get_logger(part: str) -> logging.LoggerAdapter:
    """Return the logger of one part, for example ``get_logger("edge")``."""
    return _PrefixAdapter(absl_logging.get_absl_logger(), {"part": part})


def set_up_logs(level: str, form: str = TEXT_LOGS) -> None:
    """Send log lines of the given level and above to standard error.

    ``form`` is ``text`` or ``json``.
    """
    # The programs take their arguments by argparse; absl would warn about it.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    absl_logging.set_stderrthreshold(level)
    handler = absl_logging.get_absl_handler().python_handler
    handler.stream = sys.stderr
    handler.addFilter(PartFilter())
    handler.addFilter(RepeatFilter(SystemClock()))
    if level != "debug":
        _quieten_libraries()
    if form == JSON_LOGS:
        absl_logging.get_absl_handler().setFormatter(JsonFormatter())


def _quieten_libraries() -> None:
    """Let libraries speak only of trouble; they tell of every connection else."""
    for name in LIBRARY_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)

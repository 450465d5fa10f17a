"""Logging with absl and a prefix for each part of the system."""

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
from pomelotrail_core.standard_streams import LogStream

TEXT_LOGS: Final = "text"
JSON_LOGS: Final = "json"
REPEAT_INTERVAL: Final = timedelta(seconds=10)
LINES_PER_INTERVAL: Final = 5
MAX_CALL_SITES: Final = 1_000
LIBRARY_LOGGERS: Final = ("aiohttp", "asyncio", "quic")


class _PrefixAdapter(logging.LoggerAdapter):
    """Prepends the prefix of a part to each line."""

    def process(
        self, msg: Any, kwargs: MutableMapping[str, Any]
    ) -> tuple[Any, MutableMapping[str, Any]]:
        """Add the prefix to a line, and the part as a field for structured logs."""
        part = self.extra["part"]
        return f"{part}: {msg}", {**kwargs, "extra": {"part": part}}


@attrs.define
class _Interval:
    """The line counts of one call site in the current interval."""

    started: timedelta
    passed: int = 0
    suppressed: int = 0


class PartFilter(logging.Filter):
    """Prepends the name of the library to a line without a part."""

    def filter(self, record: logging.LogRecord) -> bool:
        """Set the part of a line; all lines pass."""
        if not hasattr(record, "part"):
            record.part = record.name
            record.msg = f"{record.name}: {record.msg}"
        return True


class RepeatFilter(logging.Filter):
    """Limits the number of lines per call site and interval.

    Under overload the same line would be logged thousands of times per second. The
    first line of the next interval contains the number of suppressed lines::

        edge: Request f1-0 failed (1,203 similar lines suppressed)
    """

    def __init__(self, clock: Clock) -> None:
        """Initialize with the clock that measures the intervals."""
        super().__init__()
        self._clock = clock
        self._intervals: dict[str, _Interval] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line passes; add the number of suppressed lines."""
        call_site = f"{record.pathname}:{record.lineno}"
        now = self._clock.monotonic()
        interval = self._intervals.get(call_site)
        if interval is None or now - interval.started >= REPEAT_INTERVAL:
            suppressed = interval.suppressed if interval is not None else 0
            interval = self._start_interval(call_site, now)
            if suppressed:
                record.msg = f"{record.msg} ({suppressed:,} similar lines suppressed)"
        if interval.passed >= LINES_PER_INTERVAL:
            interval.suppressed += 1
            return False
        interval.passed += 1
        return True

    def _start_interval(self, call_site: str, now: timedelta) -> _Interval:
        """Start a new interval for a call site."""
        if len(self._intervals) >= MAX_CALL_SITES:
            self._intervals.clear()
        interval = _Interval(now)
        self._intervals[call_site] = interval
        return interval


class JsonFormatter(logging.Formatter):
    """Formats each line as a JSON object with time, level, part and message."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line."""
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
    """Write log lines of the given level and above to standard error.

    ``form`` is ``text`` or ``json``. Lines that standard error does not accept at
    once are lost and counted; a process neither waits for its log nor ends for it.
    """
    # Arguments are parsed with argparse; absl would warn about unparsed flags.
    flags.FLAGS.mark_as_parsed()
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(level)
    # absl would write the lines above this level a second time, and block.
    absl_logging.set_stderrthreshold("fatal")
    handler = absl_logging.get_absl_handler().python_handler
    handler.stream = LogStream(sys.stderr.fileno(), _report_lost_lines)
    handler.addFilter(PartFilter())
    handler.addFilter(RepeatFilter(SystemClock()))
    if level != "debug":
        _limit_library_logs()
    if form == JSON_LOGS:
        absl_logging.get_absl_handler().setFormatter(JsonFormatter())


def _report_lost_lines(count: int) -> None:
    """Log how many lines standard error did not accept."""
    get_logger("logs").warning(
        "%d lines were lost: standard error was full, closed or not read", count
    )


def _limit_library_logs() -> None:
    """Limit libraries to warnings; otherwise they log every connection."""
    for name in LIBRARY_LOGGERS:
        logging.getLogger(name).setLevel(logging.WARNING)

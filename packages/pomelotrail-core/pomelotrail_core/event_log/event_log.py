"""Writes one JSON line for each decision and each change of the known state."""

import abc
import asyncio
import os
from collections import deque
from datetime import timedelta
from typing import Final

import msgspec

from pomelotrail_core.clock import Clock

from .const import (
    FLUSH_DELAY,
    LINES_PER_INTERVAL,
    MAX_BUFFERED_BYTES,
    RATE_LIMIT_INTERVAL,
)

Field = str | int | float | bool | None | list[str]
_encode: Final = msgspec.json.Encoder().encode
_STANDARD_OUTPUT: Final = 1


class LogWriter(abc.ABC):
    """Writes complete lines without blocking."""

    @abc.abstractmethod
    def write(self, lines: bytes) -> int:
        """Write as much as fits now and return the number of bytes written."""


class StandardOutput(LogWriter):
    """Non-blocking standard output."""

    def __init__(self) -> None:
        """Make the file descriptor non-blocking."""
        os.set_blocking(_STANDARD_OUTPUT, False)

    def write(self, lines: bytes) -> int:
        """Write as much as the file descriptor accepts."""
        try:
            return os.write(_STANDARD_OUTPUT, lines)
        except BlockingIOError:
            return 0


class _Budget(msgspec.Struct):
    """The number of lines of one kind in the current interval."""

    began: timedelta
    written: int = 0
    left_out: int = 0


class EventLog:
    """The structured log of one process.

    Each line has the time, the process, the part, the event, and the inputs of
    the decision with their age or version::

        log = EventLog("edge-1", clock, StandardOutput())
        log.write("placement", "offered", flow=flow, to="10.1.0.4", age_ms=12)

    Lines of one kind above the rate limit are left out; the next line of that
    kind has their number. Lines that exceed the buffer because the reader is slow
    are dropped and counted too.
    """

    def __init__(self, process: str, clock: Clock, writer: LogWriter) -> None:
        """Write lines of the named process to the writer."""
        self._process = process
        self._clock = clock
        self._writer = writer
        self._budgets: dict[str, _Budget] = {}
        self._lines: deque[bytes] = deque()
        self._buffered = 0
        self._unwritten = b""
        self._dropped = 0
        self._is_pending = asyncio.Event()

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped because the reader was slow."""
        return self._dropped

    def write(self, part: str, event: str, **fields: Field) -> None:
        """Add one line, unless its kind is above the rate limit."""
        left_out = self._admit(f"{part} {event}")
        if left_out < 0:
            return
        line: dict[str, Field] = {
            "at": self._clock.now().isoformat(timespec="microseconds"),
            "process": self._process,
            "part": part,
            "event": event,
            **fields,
        }
        if left_out:
            line["left_out"] = left_out
        if self._dropped:
            line["dropped"] = self._dropped
        self._append(_encode(line) + b"\n")

    def flush(self) -> None:
        """Write as many buffered lines as the writer accepts."""
        pending = self._unwritten + b"".join(self._lines)
        self._lines.clear()
        written = self._writer.write(pending) if pending else 0
        self._unwritten = pending[written:]
        self._buffered = len(self._unwritten)
        if not self._unwritten:
            self._is_pending.clear()

    async def async_flush_regularly(self) -> None:
        """Flush ``FLUSH_DELAY`` after a line is added, until cancelled."""
        while True:
            await self._is_pending.wait()
            await self._clock.async_sleep(FLUSH_DELAY)
            self.flush()

    def _admit(self, kind: str) -> int:
        """Return the number of lines left out before this one; -1 leaves it out."""
        now = self._clock.monotonic()
        budget = self._budgets.get(kind)
        left_out = 0
        if budget is None or now - budget.began >= RATE_LIMIT_INTERVAL:
            left_out = budget.left_out if budget is not None else 0
            budget = self._budgets[kind] = _Budget(now)
        if budget.written >= LINES_PER_INTERVAL:
            budget.left_out += 1
            return -1
        budget.written += 1
        return left_out

    def _append(self, line: bytes) -> None:
        """Buffer a line until the next flush."""
        if self._buffered + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._is_pending.set()
        self._buffered += len(line)

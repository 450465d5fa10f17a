"""Writes one JSON line for each decision and each change of the known state."""

import asyncio
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from typing import Final

import msgspec

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters

from .const import (
    DRAIN_INTERVAL,
    DRAIN_TIMEOUT,
    FLUSH_DELAY,
    LINES_PER_INTERVAL,
    MAX_BUFFERED_BYTES,
    MAX_WRITE_BYTES,
    RATE_LIMIT_INTERVAL,
    RETRY_INTERVAL,
)
from .writers import LogWriter, open_standard_error

Field = str | int | float | bool | None | list[str]
_encode: Final = msgspec.json.Encoder().encode
_MILLISECOND: Final = timedelta(milliseconds=1)
_PART: Final = "process"


class _Budget(msgspec.Struct):
    """The number of lines of one kind in the current interval."""

    began: timedelta
    written: int = 0
    left_out: int = 0


class _Failure(msgspec.Struct):
    """The time in which lines can't be written, and why."""

    began: timedelta
    problem: str
    dropped_before: int


class EventLog:
    """The structured log of one process.

    Each line has the time, the process, the part, the event, and the inputs of
    the decision with their age or version::

        log = EventLog("edge-1", clock, open_standard_output())
        log.write("placement", "offered", flow=flow, to="10.1.0.4", age_ms=12)

    Lines of one kind above the rate limit are left out; the next line of that
    kind has their number. Lines that exceed the buffer because the reader is slow
    or gone, or the device is full, are dropped and counted too. No error of the
    writer reaches the callers.
    """

    def __init__(
        self,
        process: str,
        clock: Clock,
        writer: LogWriter,
        counters: Counters | None = None,
        open_error_writer: Callable[[], LogWriter] = open_standard_error,
    ) -> None:
        """Write lines of the named process to the writer.

        When that fails, one line is written to what ``open_error_writer`` returns.
        """
        self._process = process
        self._clock = clock
        self._writer = writer
        self._counters = counters or Counters()
        self._open_error_writer = open_error_writer
        self._budgets: dict[str, _Budget] = {}
        self._lines: deque[bytes] = deque()
        # Bytes of the first line that have been written already.
        self._written = 0
        self._buffered = 0
        self._dropped = 0
        self._failure: _Failure | None = None
        self._error_writer: LogWriter | None = None
        self._is_pending = asyncio.Event()

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped because they could not be written."""
        return self._dropped

    def write(self, part: str, event: str, **fields: Field) -> None:
        """Add one line, unless its kind is above the rate limit."""
        left_out = self._admit(f"{part} {event}")
        if left_out < 0:
            return
        line: dict[str, Field] = {**fields}
        if left_out:
            line["left_out"] = left_out
        if self._dropped:
            line["dropped"] = self._dropped
        try:
            encoded = self._encode(part, event, line)
        except (MemoryError, ValueError):
            # No memory, or a text that has no form in UTF-8.
            encoded = b""
        if not encoded or self._buffered + len(encoded) > MAX_BUFFERED_BYTES:
            self._count_dropped()
            return
        self._append(encoded)

    def flush(self) -> None:
        """Write as many buffered lines as the writer accepts."""
        try:
            while self._lines and self._write_chunk():
                continue
        except OSError as error:
            self._record_failure(error)
        if not self._lines:
            self._is_pending.clear()

    async def async_drain(self) -> None:
        """Write all buffered lines; give up if the reader takes too long or is gone."""
        deadline = self._clock.monotonic() + DRAIN_TIMEOUT
        self.flush()
        while self._lines and self._failure is None:
            if self._clock.monotonic() >= deadline:
                return
            await self._clock.async_sleep(DRAIN_INTERVAL)
            self.flush()

    async def async_flush_regularly(self) -> None:
        """Flush ``FLUSH_DELAY`` after a line is added, until cancelled."""
        while True:
            await self._is_pending.wait()
            delay = FLUSH_DELAY if self._failure is None else RETRY_INTERVAL
            await self._clock.async_sleep(delay)
            self.flush()

    def _encode(self, part: str, event: str, fields: dict[str, Field]) -> bytes:
        """Return an encoded line."""
        head: dict[str, Field] = {
            "at": self._clock.now().isoformat(timespec="microseconds"),
            "process": self._process,
            "part": part,
            "event": event,
        }
        return _encode(head | fields) + b"\n"

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
        self._lines.append(line)
        self._is_pending.set()
        self._buffered += len(line)

    def _count_dropped(self) -> None:
        """Count a line that is not written."""
        self._dropped += 1
        self._counters.add("log_lines_dropped")

    def _write_chunk(self) -> bool:
        """Write the first lines; return whether all of them were accepted."""
        parts: list[bytes] = []
        size = 0
        for line in self._lines:
            parts.append(line)
            size += len(line)
            if size >= MAX_WRITE_BYTES:
                break
        parts[0] = parts[0][self._written :]
        chunk = b"".join(parts)
        accepted = self._writer.write(chunk)
        self._discard(accepted)
        if accepted and self._failure is not None:
            self._record_success(self._failure)
        return accepted == len(chunk)

    def _discard(self, accepted: int) -> None:
        """Remove accepted bytes from the buffer."""
        self._buffered -= accepted
        self._written += accepted
        while self._lines and self._written >= len(self._lines[0]):
            self._written -= len(self._lines.popleft())

    def _record_failure(self, error: OSError) -> None:
        """Keep the lines for the next try; say once that the log fails."""
        if self._written:
            # The rest of a line would follow what others wrote meanwhile, or reach
            # another reader, so the line is written again on a line of its own.
            whole = b"\n" + self._lines[0].lstrip(b"\n")
            self._buffered += self._written + len(whole) - len(self._lines[0])
            self._lines[0], self._written = whole, 0
        if self._failure is not None:
            return
        problem = str(error)
        self._failure = _Failure(self._clock.monotonic(), problem, self._dropped)
        self._counters.set_gauge("log_failing", 1)
        self._counters.add("log_failures")
        line = self._encode(_PART, "log_failed", {"problem": problem})
        if self._error_writer is None:
            self._error_writer = self._open_error_writer()
        try:
            self._error_writer.write(line)
        except OSError:
            # Standard error fails too; the metrics show it.
            self._counters.add("log_failures_unreported")

    def _record_success(self, failure: _Failure) -> None:
        """Write a line about a failure that is over."""
        self._failure = None
        self._counters.set_gauge("log_failing", 0)
        fields: dict[str, Field] = {
            "problem": failure.problem,
            "for_ms": (self._clock.monotonic() - failure.began) // _MILLISECOND,
            "dropped": self._dropped - failure.dropped_before,
        }
        self._append(self._encode(_PART, "log_back", fields))

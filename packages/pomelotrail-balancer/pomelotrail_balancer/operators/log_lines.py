"""Reads the structured logs of processes."""

import json
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any, Final

import attrs

# Lines on the known state of a server are included from this long before the first
# line of a flow, since they explain its decisions.
STATE_WINDOW: Final = timedelta(seconds=10)
_REQUIRED_FIELDS: Final = ("at", "process", "part", "event")


@attrs.frozen
class LogLine:
    """One line of a structured log."""

    at: datetime
    process: str
    part: str
    event: str
    fields: dict[str, Any]

    @property
    def flow(self) -> str:
        """Return the flow of the line, or an empty string."""
        return str(self.fields.get("flow", ""))

    @property
    def server(self) -> str:
        """Return the backend server of the line, or an empty string."""
        return str(self.fields.get("server", ""))

    @property
    def text(self) -> str:
        """Return the line in the format for operators."""
        time = self.at.time().isoformat(timespec="milliseconds")
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{time}  {self.process}  {self.part} {self.event}  {fields}"


def read_lines(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of all files, sorted by time.

    Text before the first brace of a line, such as a host name, is ignored, and so
    are lines that are not log lines.
    """
    lines = [line for path in paths for line in _read_file(path)]
    return sorted(lines, key=lambda line: line.at)


def select_flow_lines(lines: list[LogLine], flow: str) -> list[LogLine]:
    """Return the lines of a flow, and those on the state its decisions rest on."""
    own = [line for line in lines if flow and line.flow.startswith(flow)]
    if not own:
        return []
    servers = {line.server for line in own if line.server}
    processes = {line.process for line in own}
    first, last = own[0].at - STATE_WINDOW, own[-1].at + STATE_WINDOW
    state_lines = [
        line
        for line in lines
        if not line.flow
        and first <= line.at <= last
        and line.process in processes
        and (not line.server or line.server in servers)
    ]
    return sorted([*own, *state_lines], key=lambda line: line.at)


def _read_file(path: Path) -> Iterator[LogLine]:
    """Yield the log lines of one file."""
    with path.open(errors="replace") as file:
        for text in file:
            line = _parse(text)
            if line is not None:
                yield line


def _parse(text: str) -> LogLine | None:
    """Return the log line in a text, or None if there is none."""
    start = text.find('{"at"')
    if start < 0:
        return None
    try:
        fields, _ = json.JSONDecoder().raw_decode(text[start:])
        at, process, part, event = (fields.pop(name) for name in _REQUIRED_FIELDS)
        time = datetime.fromisoformat(at)
        if time.tzinfo is None:
            time = time.replace(tzinfo=UTC)
        return LogLine(time, process, part, event, fields)
    except (ValueError, KeyError, TypeError, RecursionError):
        # The line was truncated when its process stopped, or is not one of ours.
        return None

"""Reads the windows and classes in a report of the users' bench."""

from collections.abc import Iterable, Iterator

import attrs

from .const import FIRST_WINDOW_S, LAST_WINDOW_S

_WINDOWS_HEADER = "from second"
_CLASSES_HEADER = "class "


class ReportError(Exception):
    """A report that lacks a table; play the day again."""


@attrs.frozen
class Row:
    """Requests of a window or a class, and what became of them."""

    name: str
    asked: int
    on_time: int
    late: int
    refused: int
    failed: int


def read_windows(report: str) -> list[Row]:
    """Return the windows in which the burst lasts the whole time."""
    rows = _read_table(report, _WINDOWS_HEADER)
    return [x for x in rows if FIRST_WINDOW_S <= int(x.name) <= LAST_WINDOW_S]


def read_classes(report: str) -> list[Row]:
    """Return the classes of requests over the whole day."""
    return list(_read_table(report, _CLASSES_HEADER))


def _read_table(report: str, header: str) -> Iterator[Row]:
    """Yield the rows below the line that begins with a header."""
    lines = iter(report.splitlines())
    if not any(line.startswith(header) for line in lines):
        raise ReportError(f"the report has no table {header!r}; play the day again")
    yield from _read_rows(lines)


def _read_rows(lines: Iterable[str]) -> Iterator[Row]:
    """Yield rows up to an empty line."""
    for line in lines:
        fields = line.split()
        if not fields:
            return
        yield Row(fields[0], *(int(field) for field in fields[1:6]))

"""Formats the timeline as lines of text."""

from datetime import timedelta

from pomelotrail_core.timeline import (
    ClockEstimate,
    Event,
    MergedEvent,
    ProcessEvents,
    Timeline,
)

_MILLISECOND = timedelta(milliseconds=1)
_PROCESS_COLUMNS = 28
_KIND_COLUMNS = 22


def process_line(process: ProcessEvents) -> str:
    """Return the line of a process: its clock and its number of events."""
    lost = f", {process.lost} older ones gone" if process.lost else ""
    return (
        f"# {process.process}  {process.zone}  {process.endpoint}  "
        f"{clock_text(process.clock)}  {len(process.events)} events{lost}"
    )


def clock_text(estimate: ClockEstimate) -> str:
    """Return the offset of a clock and its uncertainty, in milliseconds."""
    offset = estimate.offset / _MILLISECOND
    bound = estimate.uncertainty / _MILLISECOND
    return f"clock {offset:+.1f} ms (±{bound:.1f} ms)"


def event_line(entry: MergedEvent, timeline: Timeline) -> str:
    """Return the line of an event, with control characters escaped."""
    event = entry.event
    subject = event.request or event.flow
    parts = [
        time_text(entry),
        plain(f"{event.zone}/{event.process}").ljust(_PROCESS_COLUMNS),
        event.kind.value.ljust(_KIND_COLUMNS),
        plain(subject),
        plain(event.detail),
        _cause_text(event, timeline),
    ]
    return "  ".join(part for part in parts if part).rstrip()


def _cause_text(event: Event, timeline: Timeline) -> str:
    """Return the cause, unless it is an earlier event of the same request."""
    if not event.cause:
        return ""
    entry = timeline.by_identifier.get(event.cause)
    if entry is None:
        return f"because of {plain(event.cause)}"
    cause = entry.event
    if cause.request and cause.request == event.request:
        return ""
    detail = f" ({plain(cause.detail)})" if cause.detail else ""
    return f"because of {cause.kind.value}{detail}"


def time_text(entry: MergedEvent) -> str:
    """Return the corrected time of an event."""
    return entry.at.strftime("%H:%M:%S.%f")


def plain(text: str) -> str:
    """Escape control characters, which could move the cursor or hide text."""
    return "".join(
        each if each.isprintable() else each.encode("unicode_escape").decode()
        for each in text
    )

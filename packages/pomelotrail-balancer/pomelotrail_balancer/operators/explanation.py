"""Explains the history of one flow or request from a timeline."""

from collections.abc import Iterable
from typing import Final

import attrs
from result import Err, Ok, Result

from pomelotrail_core.timeline import EventKind, MergedEvent, Timeline

from .errors import CommandError
from .sentences import sentence
from .timeline_text import plain, time_text

MAX_SUGGESTED_NAMES: Final = 10
MAX_CONTEXT_EVENTS: Final = 3

_REQUEST_END_EVENTS: Final = (
    EventKind.REQUEST_ANSWERED,
    EventKind.REQUEST_REFUSED,
    EventKind.REQUEST_BROKEN,
)
_CAUSE_EXPECTED_EVENTS: Final = (
    EventKind.REQUEST_REFUSED,
    EventKind.FLOW_REFUSED,
    EventKind.FLOW_PASSED_ON,
    EventKind.PACKET_DROPPED,
)


@attrs.frozen
class Subject:
    """The flow or request to explain."""

    name: str
    is_request: bool


def find_subject(timeline: Timeline, text: str) -> Result[Subject, CommandError]:
    """Return the flow or request whose name starts with ``text``."""
    names: dict[str, bool] = {}
    for entry in timeline.entries:
        if entry.event.request.startswith(text):
            names.setdefault(entry.event.request, True)
        if entry.event.flow.startswith(text):
            names[entry.event.flow] = False
    names.pop("", None)
    if text in names:
        return Ok(Subject(text, names[text]))
    flows = [name for name, is_request in names.items() if not is_request]
    if len(flows) == 1:
        return Ok(Subject(flows[0], is_request=False))
    if len(names) == 1:
        return Ok(Subject(*names.popitem()))
    if not names:
        return Err(
            CommandError(
                f"no event names a flow or request {text!r}; take the name from "
                "pomelotrail timeline, and name every process (--document FILE)"
            )
        )
    shown = ", ".join(sorted(names)[:MAX_SUGGESTED_NAMES])
    return Err(
        CommandError(
            f"{text!r} fits {len(names)} flows and requests; write more of it, "
            f"for example one of: {shown}"
        )
    )


def explain_subject(timeline: Timeline, subject: Subject) -> list[str]:
    """Return the explanation as lines: events, their causes, and the end."""
    entries = _entries(timeline, subject)
    lines: list[str] = []
    for entry in entries:
        lines.append(_event_line(entry))
        lines.extend(f"    {line}" for line in _reasons(timeline, entry))
    lines.append(_end_line(entries, subject))
    return lines


def _entries(timeline: Timeline, subject: Subject) -> list[MergedEvent]:
    """Return the entries of the subject and their effects."""
    chosen = {
        entry.event.identifier
        for entry in timeline.entries
        if _is_about(entry, subject)
    }
    if subject.is_request:
        chosen |= _flow_of_request(timeline, subject)
    chosen |= _effects(timeline, chosen)
    return [entry for entry in timeline.entries if entry.event.identifier in chosen]


def _is_about(entry: MergedEvent, subject: Subject) -> bool:
    """Return whether an entry belongs to the subject."""
    event = entry.event
    return subject.name == (event.request if subject.is_request else event.flow)


def _flow_of_request(timeline: Timeline, subject: Subject) -> set[str]:
    """Return the events of a request's flow that belong to no other request."""
    flows = {
        entry.event.flow for entry in timeline.entries if _is_about(entry, subject)
    }
    return {
        entry.event.identifier
        for entry in timeline.entries
        if entry.event.flow in flows - {""} and not entry.event.request
    }


def _effects(timeline: Timeline, chosen: Iterable[str]) -> set[str]:
    """Return the effects of the chosen events in all processes."""
    found: set[str] = set()
    pending = list(chosen)
    while pending:
        for entry in timeline.effects.get(pending.pop(), ()):
            if entry.event.identifier not in found:
                found.add(entry.event.identifier)
                pending.append(entry.event.identifier)
    return found


def _event_line(entry: MergedEvent) -> str:
    """Return an event as one sentence with its time."""
    return f"{time_text(entry)}  {sentence(entry.event)}"


def _reasons(timeline: Timeline, entry: MergedEvent) -> list[str]:
    """Return the causes of an event, the nearest cause first."""
    causes = list(timeline.causes(entry))
    reasons = [
        f"because at {_event_line(cause)}"
        for cause in causes
        if not _same_subject(cause, entry)
    ]
    last = causes[-1] if causes else entry
    cause = last.event.cause
    if cause and cause not in timeline.by_identifier:
        reasons.append(
            f"because of {plain(cause)}, which is not among these events (its process "
            "gave no answer, was not named, or has forgotten it)"
        )
    if not entry.event.cause and entry.event.kind in _CAUSE_EXPECTED_EVENTS:
        reasons.extend(_preceding_changes(timeline, entry))
    return reasons


def _same_subject(cause: MergedEvent, entry: MergedEvent) -> bool:
    """Return whether a cause has the same subject and is already shown."""
    event = cause.event
    if event.request:
        return event.request == entry.event.request
    return bool(event.flow) and event.flow == entry.event.flow


def _preceding_changes(timeline: Timeline, entry: MergedEvent) -> list[str]:
    """Return the last changes at a process for an event without a recorded cause."""
    event = entry.event
    earlier = [
        other
        for other in timeline.entries
        if other.event.process == event.process
        and other.event.incarnation == event.incarnation
        and other.event.sequence < event.sequence
        and not other.event.kind.is_per_subject
    ]
    if not earlier:
        return ["no cause was recorded"]
    lines = [f"  {_event_line(other)}" for other in earlier[-MAX_CONTEXT_EVENTS:]]
    return ["no cause was recorded; before it, the process had seen:", *lines]


def _end_line(entries: list[MergedEvent], subject: Subject) -> str:
    """Return how the subject ended."""
    kinds = [entry.event.kind for entry in entries]
    if not subject.is_request:
        return _flow_end_line(kinds)
    ends = [
        entry
        for entry in entries
        if entry.event.kind in _REQUEST_END_EVENTS
        and entry.event.request == subject.name
    ]
    if not ends:
        return (
            "End: none recorded; the request is still running, or its process is "
            "gone or was not asked"
        )
    event = ends[-1].event
    return f"End: {event.kind.value}, {plain(event.detail)}".rstrip(", ")


def _flow_end_line(kinds: list[EventKind]) -> str:
    """Return how a flow ended."""
    if EventKind.FLOW_BROKEN in kinds:
        return "End: the flow broke"
    if EventKind.FLOW_CLOSED in kinds:
        return "End: the flow was closed"
    if EventKind.FLOW_OPENED in kinds:
        return "End: none recorded; the flow is open, or its process is gone"
    return "End: no process took the flow"

"""Renders the timeline as one self-contained HTML page."""

import html
import json
from collections.abc import Sequence
from importlib import resources
from typing import Any, Final

from pomelotrail_core.timeline import MergedEvent, ProcessEvents

from .timeline_collection import CollectedTimeline
from .timeline_text import clock_text

_TEMPLATE: Final = "timeline.html"
_DATA_PLACEHOLDER: Final = "/*DATA*/null"
_TITLE_PLACEHOLDER: Final = "<!--TITLE-->"


def render_page(collected: CollectedTimeline, entries: Sequence[MergedEvent]) -> str:
    """Return the page, which loads no resources and shows texts only as text."""
    template = resources.files(__package__).joinpath(_TEMPLATE).read_text()
    title = f"pomelotrail: {len(entries)} events of {collected.queried_count} processes"
    data = {
        "processes": [_process(each) for each in collected.timeline.processes],
        "silent": collected.unresponsive_names,
        "events": [_event(entry) for entry in entries],
    }
    page = template.replace(_TITLE_PLACEHOLDER, html.escape(title))
    return page.replace(_DATA_PLACEHOLDER, script_data(data))


def script_data(data: Any) -> str:
    """Return JSON for a script element, escaped so that it can't end the element.

    JSON escapes quotes only; ``</script>`` or ``<!--`` in a text would end the
    element or comment out what follows::

        script_data("</script>")  # '"\\\\u003c/script\\\\u003e"'
    """
    text = json.dumps(data, ensure_ascii=True, separators=(",", ":"))
    for character in "<>&":
        text = text.replace(character, f"\\u{ord(character):04x}")
    return text


def _process(process: ProcessEvents) -> dict[str, Any]:
    """Return the page data of a process."""
    return {
        "name": process.process,
        "zone": process.zone,
        "address": str(process.endpoint),
        "clock": clock_text(process.clock),
        "lost": process.lost,
    }


def _event(entry: MergedEvent) -> dict[str, Any]:
    """Return the page data of an event."""
    event = entry.event
    return {
        "id": event.identifier,
        "at": entry.at.timestamp(),
        "time": entry.at.strftime("%H:%M:%S.%f"),
        "process": event.process,
        "zone": event.zone,
        "kind": event.kind.value,
        "flow": event.flow,
        "request": event.request,
        "cause": event.cause,
        "detail": event.detail,
    }

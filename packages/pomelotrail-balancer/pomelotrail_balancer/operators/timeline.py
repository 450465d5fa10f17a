"""``pomelotrail timeline``: merges the events of processes."""

import argparse
import json
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from result import Err, Ok

from pomelotrail_core.command_line import EXIT_FAILED, Command
from pomelotrail_core.timeline import EventKind, MergedEvent

from .const import FORMAT_HTML, FORMAT_JSON, FORMAT_TEXT
from .selection import Selection
from .timeline_collection import (
    CollectedTimeline,
    add_collection_arguments,
    collect_timeline,
    print_error,
)
from .timeline_page import render_page
from .timeline_text import event_line, process_line


class TimelineCommand(Command):
    """Shows the events of all processes in one order."""

    name = "timeline"
    summary = "show the events of processes in one order"
    examples = (
        "pomelotrail timeline 192.0.2.7:7001 192.0.2.8:7001\n"
        "pomelotrail timeline --document document.yaml --last 5min\n"
        "pomelotrail timeline --document document.yaml --zone veraval\n"
        "pomelotrail timeline --document document.yaml --format html "
        "--output timeline.html"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        add_collection_arguments(parser)
        parser.add_argument("--flow", default="", help="only events of this flow")
        parser.add_argument("--request", default="", help="only events of this request")
        parser.add_argument("--zone", default="", help="only this availability zone")
        parser.add_argument(
            "--kind",
            type=_kind,
            metavar="EVENT",
            help="only events of this kind, as 'request refused'",
        )
        parser.add_argument(
            "--format",
            choices=[FORMAT_TEXT, FORMAT_JSON, FORMAT_HTML],
            default=FORMAT_TEXT,
        )
        parser.add_argument(
            "--output", type=Path, metavar="FILE", help="write to this file"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Collect, merge and print the events."""
        match collect_timeline(arguments):
            case Err(error):
                print_error(error)
                return EXIT_FAILED
            case Ok(collected):
                pass
        selection = Selection(
            arguments.flow, arguments.request, arguments.zone, arguments.kind
        )
        entries = selection.choose(collected.timeline)
        text = _render(arguments.format, collected, entries)
        if not _write(text, arguments.output):
            return EXIT_FAILED
        return collected.report()


def _kind(text: str) -> EventKind:
    """Parse a kind of event from the command line."""
    try:
        return EventKind(text)
    except ValueError as error:
        known = ", ".join(kind.value for kind in EventKind)
        raise argparse.ArgumentTypeError(
            f"{text!r} is no event; use one of: {known}"
        ) from error


def _render(
    output_format: str, collected: CollectedTimeline, entries: Sequence[MergedEvent]
) -> str:
    """Return the timeline in the selected format."""
    if output_format == FORMAT_HTML:
        return render_page(collected, entries)
    if output_format == FORMAT_JSON:
        return "".join(json.dumps(_data(entry)) + "\n" for entry in entries)
    lines = [process_line(process) for process in collected.timeline.processes]
    lines += [f"# {name}  gave no answer" for name in collected.unresponsive_names]
    lines += [event_line(entry, collected.timeline) for entry in entries]
    return "".join(f"{line}\n" for line in lines)


def _data(entry: MergedEvent) -> dict[str, Any]:
    """Return an entry as JSON data."""
    event = entry.event
    return {
        "at": entry.at.isoformat(),
        "identifier": event.identifier,
        "process": event.process,
        "zone": event.zone,
        "kind": event.kind.value,
        "flow": event.flow,
        "request": event.request,
        "cause": event.cause,
        "detail": event.detail,
    }


def _write(text: str, output: Path | None) -> bool:
    """Print the text or write it to a file; return False if that failed."""
    if output is None:
        sys.stdout.write(text)
        return True
    try:
        output.write_text(text)
    except OSError as error:
        print(
            f"{output}: can't be written ({error.strerror}); "
            "give --output a path that can be written",
            file=sys.stderr,
        )
        return False
    return True

"""``pomelotrail timeline``: merges the events of several processes."""

import asyncio
import sys
from collections.abc import Sequence

from result import Err, Ok

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.timeline import Event
from pomelotrail_core.timeline.client import async_read_events

from .const import EXIT_FAILED, EXIT_OK, PROCESS_TIMEOUT


def run_timeline(endpoints: Sequence[Endpoint]) -> int:
    """Print the merged events of the processes at these control addresses."""
    return asyncio.run(_async_timeline(endpoints))


async def _async_timeline(endpoints: Sequence[Endpoint]) -> int:
    """Read all processes at once and print what they recorded."""
    answers = await asyncio.gather(
        *(async_read_events(endpoint, PROCESS_TIMEOUT) for endpoint in endpoints)
    )
    events: list[Event] = []
    exit_code = EXIT_OK
    for answer in answers:
        match answer:
            case Ok(some):
                events.extend(some)
            case Err(error):
                print(error, file=sys.stderr)
                exit_code = EXIT_FAILED
    for event in sorted(events, key=lambda event: event.at):
        print(_format(event))
    return exit_code


def _format(event: Event) -> str:
    """Return one line of text."""
    subject = event.request or event.flow
    parts = [
        event.at.strftime("%H:%M:%S.%f"),
        f"{event.zone}/{event.process}".ljust(24),
        event.kind.value,
        subject,
        event.detail,
    ]
    return "  ".join(part for part in parts if part)

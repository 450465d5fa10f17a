"""Builders for events and timelines."""

from datetime import UTC, datetime, timedelta
from typing import Any, Final

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.timeline import ClockEstimate, Event, EventKind, ProcessEvents

NOON: Final = datetime(2026, 1, 1, 12, tzinfo=UTC)
MILLISECOND: Final = timedelta(milliseconds=1)


def event(
    process: str = "ledger-1",
    sequence: int = 1,
    kind: EventKind = EventKind.REQUEST_STARTED,
    milliseconds: float = 0,
    **changes: Any,
) -> Event:
    """Return an event at ``milliseconds`` after noon."""
    fields = {
        "process": process,
        "sequence": sequence,
        "kind": kind,
        "at": NOON + milliseconds * MILLISECOND,
        "monotonic": milliseconds * MILLISECOND,
        "zone": "veraval",
        **changes,
    }
    return Event(**fields)


def process_events(
    *events: Event, offset: timedelta = timedelta(), lost: int = 0
) -> ProcessEvents:
    """Return the events of one process whose clocks are ahead by ``offset``."""
    name = events[0].process if events else "ledger-1"
    clock = ClockEstimate(
        at=NOON,
        wall=NOON + offset,
        monotonic=offset,
        round_trip=2 * MILLISECOND,
    )
    endpoint = Endpoint("192.0.2.1", 7001)
    return ProcessEvents(name, "veraval", endpoint, clock, lost, events)

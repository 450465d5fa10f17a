"""The bounded ring of events of this process."""

from collections import deque

from pomelotrail_core.clock import Clock

from .const import RING_EVENTS
from .messages import Event, EventKind


class Recorder:
    """Keeps the latest events; the oldest give way when the ring is full."""

    def __init__(
        self, process: str, zone: str, clock: Clock, size: int = RING_EVENTS
    ) -> None:
        """Record for the process of that name."""
        self._process = process
        self._zone = zone
        self._clock = clock
        self._events: deque[Event] = deque(maxlen=size)
        self._sequence = 0

    @property
    def process(self) -> str:
        """Return the name of the process."""
        return self._process

    @property
    def events(self) -> tuple[Event, ...]:
        """Return the kept events, oldest first."""
        return tuple(self._events)

    @property
    def lost(self) -> int:
        """Return how many events have given way."""
        return self._sequence - len(self._events)

    def record(
        self,
        kind: EventKind,
        *,
        flow: str = "",
        request: str = "",
        cause: str = "",
        detail: str = "",
    ) -> str:
        """Add an event and return its identifier, to be named as a cause."""
        self._sequence += 1
        event = Event(
            process=self._process,
            sequence=self._sequence,
            kind=kind,
            at=self._clock.now(),
            monotonic=self._clock.monotonic(),
            zone=self._zone,
            flow=flow,
            request=request,
            cause=cause,
            detail=detail,
        )
        self._events.append(event)
        return event.identifier

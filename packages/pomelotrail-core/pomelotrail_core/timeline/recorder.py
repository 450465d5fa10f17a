"""Bounded ring buffers for the events of this process."""

import heapq
from collections import Counter, deque
from collections.abc import Mapping

from pomelotrail_core.clock import Clock

from .const import STATE_RING_EVENTS, SUBJECT_RING_EVENTS
from .messages import Event, EventKind


class Recorder:
    """Keeps the latest events, evicting the oldest when a ring is full.

    Events about single flows and requests have a separate ring, so that a large
    number of them never evicts the rare events that explain them::

        cold = recorder.record(EventKind.BACKEND_SERVER_COLD, detail="two sheds")
        recorder.record(EventKind.LIMIT_CHANGED, cause=cold, detail="5 to 1")

    Code that did not record the cause itself can refer to the latest event of a
    kind::

        cause = recorder.latest(EventKind.LIMIT_CHANGED)
        recorder.record(EventKind.REQUEST_REFUSED, request="r", cause=cause)
    """

    def __init__(
        self,
        process: str,
        zone: str,
        clock: Clock,
        size: int = SUBJECT_RING_EVENTS,
        state_size: int = STATE_RING_EVENTS,
    ) -> None:
        """Record events for a process."""
        self._process = process
        self._zone = zone
        self._clock = clock
        self._incarnation = format(int(clock.now().timestamp() * 1000), "x")
        self._subject_events: deque[Event] = deque(maxlen=size)
        self._state_events: deque[Event] = deque(maxlen=state_size)
        self._latest: dict[EventKind, str] = {}
        self._counts: Counter[EventKind] = Counter()
        self._sequence = 0

    @property
    def process(self) -> str:
        """Return the name of the process."""
        return self._process

    @property
    def zone(self) -> str:
        """Return the availability zone of the process."""
        return self._zone

    @property
    def clock(self) -> Clock:
        """Return the clock used for event timestamps."""
        return self._clock

    @property
    def events(self) -> tuple[Event, ...]:
        """Return the retained events, oldest first."""
        rings = (self._subject_events, self._state_events)
        return tuple(heapq.merge(*rings, key=lambda event: event.sequence))

    @property
    def lost(self) -> int:
        """Return the number of evicted events."""
        return self._sequence - len(self._subject_events) - len(self._state_events)

    @property
    def counts(self) -> Mapping[EventKind, int]:
        """Return the number of events of each kind recorded since the start."""
        return self._counts

    def latest(self, *kinds: EventKind) -> str:
        """Return the identifier of the latest event of these kinds, or empty."""
        found = [self._latest[kind] for kind in kinds if kind in self._latest]
        return max(found, key=_sequence_number, default="")

    def record(
        self,
        kind: EventKind,
        *,
        flow: str = "",
        request: str = "",
        cause: str = "",
        detail: str = "",
    ) -> str:
        """Add an event and return its identifier for use as a cause."""
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
            incarnation=self._incarnation,
        )
        ring = self._subject_events if kind.is_per_subject else self._state_events
        ring.append(event)
        identifier = event.identifier
        self._latest[kind] = identifier
        self._counts[kind] += 1
        return identifier


def _sequence_number(identifier: str) -> int:
    """Return the sequence number in an identifier."""
    return int(identifier.rpartition("/")[2])

"""Merges the events of many processes into one time line."""

import heapq
from collections.abc import Iterable, Iterator, Sequence
from datetime import datetime
from functools import cached_property

import attrs

from pomelotrail_core.endpoint import Endpoint

from .clock_estimate import ClockEstimate
from .messages import Event


@attrs.frozen
class ProcessEvents:
    """The events of one process, with an estimate of its clocks."""

    process: str
    zone: str
    endpoint: Endpoint
    clock: ClockEstimate
    lost: int
    events: tuple[Event, ...]


@attrs.frozen
class MergedEvent:
    """An event with its time by the clock of whoever gathered it."""

    at: datetime
    event: Event


@attrs.frozen(slots=False)
class Timeline:
    """The events of many processes in one order.

    The order follows the corrected times, but an event never stands before
    its cause or before an earlier event of its process, since clocks can't be
    corrected exactly.
    """

    processes: tuple[ProcessEvents, ...]
    entries: tuple[MergedEvent, ...]

    @cached_property
    def by_identifier(self) -> dict[str, MergedEvent]:
        """Return the entries by the identifiers of their events."""
        return {entry.event.identifier: entry for entry in self.entries}

    @cached_property
    def effects(self) -> dict[str, list[MergedEvent]]:
        """Return, for each identifier, the entries that name it as their cause."""
        effects: dict[str, list[MergedEvent]] = {}
        for entry in self.entries:
            if entry.event.cause:
                effects.setdefault(entry.event.cause, []).append(entry)
        return effects

    def causes(self, entry: MergedEvent) -> Iterator[MergedEvent]:
        """Yield the cause of an entry, the cause of that, and so on."""
        seen = {entry.event.identifier}
        cause = entry.event.cause
        while cause in self.by_identifier and cause not in seen:
            seen.add(cause)
            found = self.by_identifier[cause]
            yield found
            cause = found.event.cause


def merge(processes: Iterable[ProcessEvents]) -> Timeline:
    """Return the time line of these processes."""
    processes = tuple(processes)
    chains = [_corrected(process) for process in processes]
    return Timeline(processes, tuple(_Merger(chains).order()))


def _corrected(process: ProcessEvents) -> list[MergedEvent]:
    """Return the events of one process in their order, with corrected times."""
    events = sorted(process.events, key=lambda event: event.sequence)
    return [
        MergedEvent(process.clock.correct(event.monotonic), event) for event in events
    ]


@attrs.frozen(order=True)
class _Head:
    """The next event of a chain."""

    at: datetime
    chain: int
    position: int


class _Merger:
    """Takes the earliest head of a chain whose cause has been taken.

    When every head waits for its cause, as with a cause that names a later
    event of its own process, the earliest is taken all the same.
    """

    def __init__(self, chains: Sequence[Sequence[MergedEvent]]) -> None:
        """Merge chains that are in order each."""
        self._chains = chains
        self._missing = {entry.event.identifier for chain in chains for entry in chain}
        self._heads: list[_Head] = []
        self._blocked: dict[int, _Head] = {}
        self._waiting: dict[str, list[int]] = {}

    def order(self) -> Iterator[MergedEvent]:
        """Yield every entry once."""
        for chain in range(len(self._chains)):
            self._push(chain, 0)
        while self._heads or self._blocked:
            if self._heads:
                head = heapq.heappop(self._heads)
                entry = self._chains[head.chain][head.position]
                if entry.event.cause in self._missing:
                    self._block(head, entry.event.cause)
                    continue
            else:
                head = min(self._blocked.values())
                del self._blocked[head.chain]
                entry = self._chains[head.chain][head.position]
            yield entry
            self._release(entry.event.identifier)
            self._push(head.chain, head.position + 1)

    def _push(self, chain: int, position: int) -> None:
        """Make an event the head of its chain."""
        if position < len(self._chains[chain]):
            at = self._chains[chain][position].at
            heapq.heappush(self._heads, _Head(at, chain, position))

    def _block(self, head: _Head, cause: str) -> None:
        """Let a head wait until its cause has been taken."""
        self._blocked[head.chain] = head
        self._waiting.setdefault(cause, []).append(head.chain)

    def _release(self, identifier: str) -> None:
        """Let the heads go that waited for this event."""
        self._missing.discard(identifier)
        for chain in self._waiting.pop(identifier, ()):
            if chain in self._blocked:
                heapq.heappush(self._heads, self._blocked.pop(chain))

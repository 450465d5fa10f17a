"""Merges the events of many processes into one timeline."""

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
    """The events of one process with an estimate of its clocks."""

    process: str
    zone: str
    endpoint: Endpoint
    clock: ClockEstimate
    lost: int
    events: tuple[Event, ...]


@attrs.frozen
class MergedEvent:
    """An event with its time on the clock of the process that read it."""

    at: datetime
    event: Event


@attrs.frozen(slots=False)
class Timeline:
    """The events of many processes in a single order.

    The order follows the corrected times, but an event never precedes its cause
    or an earlier event of its process, because clocks can't be corrected exactly.
    """

    processes: tuple[ProcessEvents, ...]
    entries: tuple[MergedEvent, ...]

    @cached_property
    def by_identifier(self) -> dict[str, MergedEvent]:
        """Return the entries by event identifier."""
        return {entry.event.identifier: entry for entry in self.entries}

    @cached_property
    def effects(self) -> dict[str, list[MergedEvent]]:
        """Return the entries caused by each event, by its identifier."""
        effects: dict[str, list[MergedEvent]] = {}
        for entry in self.entries:
            if entry.event.cause:
                effects.setdefault(entry.event.cause, []).append(entry)
        return effects

    def causes(self, entry: MergedEvent) -> Iterator[MergedEvent]:
        """Yield the chain of causes of an entry, the nearest first."""
        seen = {entry.event.identifier}
        cause = entry.event.cause
        while cause in self.by_identifier and cause not in seen:
            seen.add(cause)
            found = self.by_identifier[cause]
            yield found
            cause = found.event.cause


def merge(processes: Iterable[ProcessEvents]) -> Timeline:
    """Return the merged timeline of processes."""
    processes = tuple(processes)
    chains = [_corrected_entries(process) for process in processes]
    return Timeline(processes, tuple(_Merger(chains).merge_entries()))


def _corrected_entries(process: ProcessEvents) -> list[MergedEvent]:
    """Return the events of one process in order, with corrected times."""
    events = sorted(process.events, key=lambda event: event.sequence)
    return [
        MergedEvent(process.clock.correct(event.monotonic), event) for event in events
    ]


@attrs.frozen(order=True)
class _Head:
    """The next unmerged event of a chain."""

    at: datetime
    chain: int
    position: int


class _Merger:
    """Merges chains by repeatedly yielding the earliest unblocked head.

    A head is blocked until its cause has been yielded. When every head is
    blocked, as when a cause is a later event of the same process, the earliest
    head is yielded anyway.
    """

    def __init__(self, chains: Sequence[Sequence[MergedEvent]]) -> None:
        """Merge chains, each of which is in order."""
        self._chains = chains
        self._unmerged = {entry.event.identifier for chain in chains for entry in chain}
        self._heads: list[_Head] = []
        self._blocked: dict[int, _Head] = {}
        self._chains_by_cause: dict[str, list[int]] = {}

    def merge_entries(self) -> Iterator[MergedEvent]:
        """Yield every entry once."""
        for chain in range(len(self._chains)):
            self._push_head(chain, 0)
        while self._heads or self._blocked:
            if self._heads:
                head = heapq.heappop(self._heads)
                entry = self._chains[head.chain][head.position]
                if entry.event.cause in self._unmerged:
                    self._block(head, entry.event.cause)
                    continue
            else:
                head = min(self._blocked.values())
                del self._blocked[head.chain]
                entry = self._chains[head.chain][head.position]
            yield entry
            self._unblock(entry.event.identifier)
            self._push_head(head.chain, head.position + 1)

    def _push_head(self, chain: int, position: int) -> None:
        """Make an event the head of its chain."""
        if position < len(self._chains[chain]):
            at = self._chains[chain][position].at
            heapq.heappush(self._heads, _Head(at, chain, position))

    def _block(self, head: _Head, cause: str) -> None:
        """Block a head until its cause has been yielded."""
        self._blocked[head.chain] = head
        self._chains_by_cause.setdefault(cause, []).append(head.chain)

    def _unblock(self, identifier: str) -> None:
        """Unblock the heads that wait for an event."""
        self._unmerged.discard(identifier)
        for chain in self._chains_by_cause.pop(identifier, ()):
            if chain in self._blocked:
                heapq.heappush(self._heads, self._blocked.pop(chain))

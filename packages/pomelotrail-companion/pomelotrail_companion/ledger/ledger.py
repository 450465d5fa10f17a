"""The ledger of an executor: what became of each ticket that it issued.

The memory is bounded, and what has been evicted can never run again. Two marks
on the time of this incarnation see to that, and neither ever steps back:

- a ticket issued at or before the low-water mark can't start any more;
- of a ticket issued at or before the forgotten mark it is not known whether it
  has run; between the two marks it has certainly not.
"""

import enum
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta

import attrs

from pomelotrail_companion.requests.proof import Fenceable
from pomelotrail_core.tickets import Ticket

from .const import MAX_ENTRIES, MAX_KEPT_BYTES, TICKET_WINDOW
from .entry import Entry, EntryState, KeptAnswer, Pointer


class Verdict(enum.Enum):
    """What the ledger says about a ticket."""

    UNSEEN = "unseen"
    KNOWN = "known"
    OTHER_REQUEST = "other request"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"
    FULL = "full"


@attrs.frozen
class Finding(Fenceable):
    """A verdict with the entry that it is about, if there is one."""

    verdict: Verdict
    entry: Entry | None = None

    @property
    def is_fenced(self) -> bool:
        """Tell whether the verdict bars the request under this ticket for ever.

        The low-water mark never steps back, and the ticket of another request
        stays with that one.
        """
        return self.verdict in (Verdict.EXPIRED, Verdict.OTHER_REQUEST)


@attrs.frozen
class LedgerLimits:
    """Bounds of the memory of a ledger.

    Tickets can be used for ``window`` and answers are kept as long after they
    were given, at most ``entries`` tickets and ``kept_bytes`` of answers.
    """

    window: timedelta = TICKET_WINDOW
    entries: int = MAX_ENTRIES
    kept_bytes: int = MAX_KEPT_BYTES


class Ledger:
    """Decides for each ticket of one incarnation whether it may run.

    Every method runs without a pause, so that between ``find`` and ``start``
    nothing can come in between as long as the caller does not await.
    """

    def __init__(
        self, now: Callable[[], datetime], limits: LedgerLimits | None = None
    ) -> None:
        """Start empty; ``now`` is the time by which tickets are issued."""
        self._now = now
        self._limits = limits or LedgerLimits()
        self._entries: dict[Ticket, Entry] = {}
        self._settled: deque[tuple[datetime, Entry]] = deque()
        self._with_body: dict[Ticket, Entry] = {}
        self._kept_bytes = 0
        self._low_water = now() - self._limits.window
        self._forgotten = self._low_water

    @property
    def entry_count(self) -> int:
        """Return the number of tickets that are known."""
        return len(self._entries)

    @property
    def kept_bytes(self) -> int:
        """Return the bytes of all kept answers."""
        return self._kept_bytes

    @property
    def window(self) -> timedelta:
        """Return how long a ticket can be used."""
        return self._limits.window

    def find(self, ticket: Ticket, fingerprint: bytes) -> Finding:
        """Return what is known about a ticket that this incarnation issued."""
        self._expire()
        entry = self._entries.get(ticket)
        if entry is not None:
            is_same = entry.is_fenced or entry.fingerprint == fingerprint
            return Finding(Verdict.KNOWN if is_same else Verdict.OTHER_REQUEST, entry)
        if ticket.issued_at <= self._forgotten:
            return Finding(Verdict.FORGOTTEN)
        if ticket.issued_at <= self._low_water:
            return Finding(Verdict.EXPIRED)
        if len(self._entries) >= self._limits.entries and not self._settled:
            return Finding(Verdict.FULL)
        return Finding(Verdict.UNSEEN)

    def start(self, ticket: Ticket, fingerprint: bytes) -> Entry:
        """Let an unseen ticket run; this can happen once."""
        return self._add(ticket, fingerprint, EntryState.RUNNING)

    def finish(self, entry: Entry, kept: KeptAnswer) -> None:
        """Keep the answer of a running ticket."""
        entry.kept = kept
        self._settle(entry, EntryState.DONE)
        if kept.size:
            self._kept_bytes += kept.size
            self._with_body[entry.ticket] = entry
        self._drop_bodies()

    def fence(self, ticket: Ticket, fingerprint: bytes) -> Entry:
        """Bar an unseen ticket from running for ever."""
        entry = self._add(ticket, fingerprint, EntryState.RUNNING)
        self._settle(entry, EntryState.FENCED)
        return entry

    def fence_running(self, entry: Entry) -> None:
        """Bar a started ticket that provably did not run."""
        self._settle(entry, EntryState.FENCED)

    def delegate(self, ticket: Ticket, fingerprint: bytes, pointer: Pointer) -> Entry:
        """Record that an unseen ticket runs at another executor, if at all."""
        entry = self._add(ticket, fingerprint, EntryState.RUNNING)
        entry.pointer = pointer
        self._settle(entry, EntryState.DELEGATED)
        return entry

    def _add(self, ticket: Ticket, fingerprint: bytes, state: EntryState) -> Entry:
        """Add the entry of an unseen ticket, making room for it."""
        finding = self.find(ticket, fingerprint)
        if finding.verdict is not Verdict.UNSEEN:
            raise ValueError(f"the ticket is {finding.verdict.value}, not unseen")
        while len(self._entries) >= self._limits.entries:
            self._evict()
        entry = Entry(ticket, fingerprint, state)
        self._entries[ticket] = entry
        return entry

    def _settle(self, entry: Entry, state: EntryState) -> None:
        """Give a running entry its last state."""
        if entry.state is not EntryState.RUNNING:
            raise ValueError(f"the ticket is {entry.state.value}, not running")
        entry.state = state
        self._settled.append((self._now(), entry))
        entry.settled.set()

    def _expire(self) -> None:
        """Move the low-water mark and evict what is past the window."""
        oldest = self._now() - self._limits.window
        self._low_water = max(self._low_water, oldest)
        while self._settled and self._settled[0][0] <= oldest:
            self._evict()

    def _evict(self) -> None:
        """Forget the entry that was settled first; it can never run again."""
        _, entry = self._settled.popleft()
        del self._entries[entry.ticket]
        issued_at = entry.ticket.issued_at
        self._low_water = max(self._low_water, issued_at)
        if not entry.is_fenced:
            self._forgotten = max(self._forgotten, issued_at)
        self._drop_body(entry)

    def _drop_bodies(self) -> None:
        """Keep the bodies of answers within the bound, the latest longest."""
        while self._kept_bytes > self._limits.kept_bytes:
            self._drop_body(next(iter(self._with_body.values())))

    def _drop_body(self, entry: Entry) -> None:
        """Keep that the entry has run, but not its answer."""
        if entry.kept is None or not entry.kept.size:
            return
        self._kept_bytes -= entry.kept.size
        entry.kept = attrs.evolve(entry.kept, body=None)
        del self._with_body[entry.ticket]

"""Ledger of an executor: the state of each ticket that it issued.

The number of entries is bounded, and an evicted ticket can never run again. Two
marks on the issue time of tickets ensure this, and neither of them ever decreases:

- a ticket issued at or before the low-water mark can't start any more;
- for a ticket issued at or before the forgotten mark it is unknown whether it has
  run; a ticket issued between the two marks has not run.
"""

import enum
from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta

import attrs

from pomelotrail_companion.requests.proof import Fenceable
from pomelotrail_core.tickets import Ticket

from .const import MAX_ENTRIES, MAX_KEPT_BYTES, TICKET_WINDOW
from .entry import DelegationTarget, Entry, EntryState, KeptAnswer


class TicketStatus(enum.Enum):
    """State of a ticket in the ledger."""

    UNSEEN = "unseen"
    KNOWN = "known"
    OTHER_REQUEST = "other request"
    EXPIRED = "expired"
    FORGOTTEN = "forgotten"
    FULL = "full"


@attrs.frozen
class TicketCheck(Fenceable):
    """Status of a ticket with its entry, if there is one."""

    status: TicketStatus
    entry: Entry | None = None

    @property
    def is_fenced(self) -> bool:
        """Return whether the request can never run under this ticket.

        The low-water mark never decreases, and a ticket that was used for another
        request stays bound to that request.
        """
        return self.status in (TicketStatus.EXPIRED, TicketStatus.OTHER_REQUEST)


@attrs.frozen
class LedgerLimits:
    """Limits of the memory that a ledger uses.

    A ticket can be used for ``window`` after it was issued, and an answer is kept
    for the same time after it was recorded. At most ``entries`` tickets and
    ``kept_bytes`` of answers are kept.
    """

    window: timedelta = TICKET_WINDOW
    entries: int = MAX_ENTRIES
    kept_bytes: int = MAX_KEPT_BYTES


class Ledger:
    """Decides for each ticket of one incarnation whether it may run.

    No method awaits, so ``check`` followed by ``start`` is atomic as long as the
    calling code does not await between them.
    """

    def __init__(
        self, now: Callable[[], datetime], limits: LedgerLimits | None = None
    ) -> None:
        """Initialize an empty ledger; ``now`` returns the clock of the issuer."""
        self._now = now
        self._limits = limits or LedgerLimits()
        self._entries: dict[Ticket, Entry] = {}
        self._final_entries: deque[tuple[datetime, Entry]] = deque()
        self._with_body: dict[Ticket, Entry] = {}
        self._kept_bytes = 0
        self._low_water_mark = now() - self._limits.window
        self._forgotten_mark = self._low_water_mark

    @property
    def entry_count(self) -> int:
        """Return the number of tickets with an entry."""
        return len(self._entries)

    @property
    def kept_bytes(self) -> int:
        """Return the total size of all kept answers."""
        return self._kept_bytes

    @property
    def window(self) -> timedelta:
        """Return how long a ticket can be used."""
        return self._limits.window

    def check(self, ticket: Ticket, fingerprint: bytes) -> TicketCheck:
        """Return the status of a ticket that this incarnation issued."""
        self._evict_expired()
        entry = self._entries.get(ticket)
        if entry is not None:
            is_same = entry.is_fenced or entry.fingerprint == fingerprint
            return TicketCheck(
                TicketStatus.KNOWN if is_same else TicketStatus.OTHER_REQUEST, entry
            )
        if ticket.issued_at <= self._forgotten_mark:
            return TicketCheck(TicketStatus.FORGOTTEN)
        if ticket.issued_at <= self._low_water_mark:
            return TicketCheck(TicketStatus.EXPIRED)
        if len(self._entries) >= self._limits.entries and not self._final_entries:
            return TicketCheck(TicketStatus.FULL)
        return TicketCheck(TicketStatus.UNSEEN)

    def start(self, ticket: Ticket, fingerprint: bytes) -> Entry:
        """Mark an unseen ticket as running; possible once per ticket."""
        return self._add(ticket, fingerprint, EntryState.RUNNING)

    def finish(self, entry: Entry, kept: KeptAnswer) -> None:
        """Keep the answer of a running ticket."""
        entry.kept = kept
        self._finalize(entry, EntryState.DONE)
        if kept.size:
            self._kept_bytes += kept.size
            self._with_body[entry.ticket] = entry
        self._evict_bodies()

    def fence(self, ticket: Ticket, fingerprint: bytes) -> Entry:
        """Fence an unseen ticket, so that it can never run."""
        entry = self._add(ticket, fingerprint, EntryState.RUNNING)
        self._finalize(entry, EntryState.FENCED)
        return entry

    def fence_running(self, entry: Entry) -> None:
        """Fence a started ticket that provably did not run."""
        self._finalize(entry, EntryState.FENCED)

    def delegate(
        self, ticket: Ticket, fingerprint: bytes, target: DelegationTarget
    ) -> Entry:
        """Record that an unseen ticket can run only at another executor."""
        entry = self._add(ticket, fingerprint, EntryState.RUNNING)
        entry.delegation_target = target
        self._finalize(entry, EntryState.DELEGATED)
        return entry

    def _add(self, ticket: Ticket, fingerprint: bytes, state: EntryState) -> Entry:
        """Add the entry of an unseen ticket, evicting others if necessary."""
        check = self.check(ticket, fingerprint)
        if check.status is not TicketStatus.UNSEEN:
            raise ValueError(f"the ticket is {check.status.value}, not unseen")
        while len(self._entries) >= self._limits.entries:
            self._evict()
        entry = Entry(ticket, fingerprint, state)
        self._entries[ticket] = entry
        return entry

    def _finalize(self, entry: Entry, state: EntryState) -> None:
        """Set the final state of a running entry."""
        if entry.state is not EntryState.RUNNING:
            raise ValueError(f"the ticket is {entry.state.value}, not running")
        entry.state = state
        self._final_entries.append((self._now(), entry))
        entry.finalized.set()

    def _evict_expired(self) -> None:
        """Advance the low-water mark and evict entries past the window."""
        oldest = self._now() - self._limits.window
        self._low_water_mark = max(self._low_water_mark, oldest)
        while self._final_entries and self._final_entries[0][0] <= oldest:
            self._evict()

    def _evict(self) -> None:
        """Evict the entry that was finalized first; its ticket can never run again."""
        _, entry = self._final_entries.popleft()
        del self._entries[entry.ticket]
        issued_at = entry.ticket.issued_at
        self._low_water_mark = max(self._low_water_mark, issued_at)
        if not entry.is_fenced:
            self._forgotten_mark = max(self._forgotten_mark, issued_at)
        self._evict_body(entry)

    def _evict_bodies(self) -> None:
        """Evict the oldest bodies of answers until the size limit is met."""
        while self._kept_bytes > self._limits.kept_bytes:
            self._evict_body(next(iter(self._with_body.values())))

    def _evict_body(self, entry: Entry) -> None:
        """Evict the body of an answer; the entry still records that it ran."""
        if entry.kept is None or not entry.kept.size:
            return
        self._kept_bytes -= entry.kept.size
        entry.kept = attrs.evolve(entry.kept, body=None)
        del self._with_body[entry.ticket]

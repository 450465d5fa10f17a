"""What the ledger of an executor knows about one ticket."""

import asyncio
import enum

import attrs

from pomelotrail_companion.requests import Answer, Header, Outcome, Refusal, refuse
from pomelotrail_companion.requests.messages import async_pieces
from pomelotrail_companion.requests.proof import Fenceable, prove_fenced
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.tickets import Ticket


class EntryState(enum.Enum):
    """What has become of a ticket; one that was never seen has no entry."""

    RUNNING = "running"
    DONE = "done"
    FENCED = "fenced"
    DELEGATED = "delegated"


@attrs.frozen
class KeptAnswer:
    """The answer of a run; ``body`` is None once it is no longer kept."""

    status: int
    headers: tuple[Header, ...]
    body: bytes | None
    refusal: Refusal | None = None

    @property
    def size(self) -> int:
        """Return the bytes that the body takes."""
        return len(self.body or b"")

    def answer(self) -> Answer:
        """Return the whole answer, or the refusal that tells why there is none."""
        if self.refusal is not None:
            return refuse(self.refusal)
        if self.body is None:
            detail = f"the answer had status {self.status}"
            return refuse(
                Refusal(RefusalKind.ANSWER_NOT_KEPT, Outcome.RUN, detail=detail)
            )
        return Answer(self.status, self.headers, async_pieces(self.body))


@attrs.frozen
class Pointer:
    """Where a delegated ticket went: another executor and its ticket, sealed."""

    executor: Endpoint
    ticket: str


@attrs.define(eq=False)
class Entry(Fenceable):
    """One ticket that has been seen; only the ledger changes it."""

    ticket: Ticket
    fingerprint: bytes
    state: EntryState
    kept: KeptAnswer | None = None
    pointer: Pointer | None = None
    settled: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def is_fenced(self) -> bool:
        """Tell whether the ticket can never run."""
        return self.state is EntryState.FENCED

    def first_answer(self) -> Answer:
        """Return what a settled entry tells the caller whose request started it."""
        if self.is_fenced and self.kept is not None and self.kept.refusal is not None:
            proof = prove_fenced(self)
            return refuse(attrs.evolve(self.kept.refusal, proof=proof))
        return self.answer()

    def answer(self) -> Answer:
        """Return what a settled entry tells a retry."""
        if self.is_fenced:
            return refuse(
                Refusal(
                    RefusalKind.TICKET_FENCED,
                    Outcome.NOT_RUN,
                    proof=prove_fenced(self),
                )
            )
        assert self.kept is not None
        return self.kept.answer()

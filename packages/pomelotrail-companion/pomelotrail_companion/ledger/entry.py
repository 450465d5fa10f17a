"""Entry of one ticket in the ledger of its executor."""

import asyncio
import enum

import attrs

from pomelotrail_companion.requests import Answer, Header, Outcome, Refusal, refuse
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_companion.requests.proof import Fenceable, prove_fenced
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.tickets import Ticket


class EntryState(enum.Enum):
    """State of an entry; a ticket that was never seen has no entry."""

    RUNNING = "running"
    DONE = "done"
    FENCED = "fenced"
    DELEGATED = "delegated"


@attrs.frozen
class KeptAnswer:
    """Answer of an execution; ``body`` is None once it is no longer kept."""

    status: int
    headers: tuple[Header, ...]
    body: bytes | None
    refusal: Refusal | None = None

    @property
    def size(self) -> int:
        """Return the size of the body in bytes."""
        return len(self.body or b"")

    def answer(self) -> Answer:
        """Return the complete answer, or a refusal that tells why it is missing."""
        if self.refusal is not None:
            return refuse(self.refusal)
        if self.body is None:
            detail = f"the answer had status {self.status}"
            return refuse(
                Refusal(RefusalKind.ANSWER_NOT_KEPT, Outcome.RUN, detail=detail)
            )
        return Answer(self.status, self.headers, async_chunks(self.body))


@attrs.frozen
class DelegationTarget:
    """Executor that a ticket was delegated to, and its own sealed ticket."""

    executor: Endpoint
    ticket: str


@attrs.define(eq=False)
class Entry(Fenceable):
    """Record of one ticket that has been seen; only the ledger modifies it."""

    ticket: Ticket
    fingerprint: bytes
    state: EntryState
    kept: KeptAnswer | None = None
    delegation_target: DelegationTarget | None = None
    finalized: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def is_fenced(self) -> bool:
        """Return whether the ticket can never run."""
        return self.state is EntryState.FENCED

    def first_answer(self) -> Answer:
        """Return the answer of a finalized entry for the caller that started it."""
        if self.is_fenced and self.kept is not None and self.kept.refusal is not None:
            proof = prove_fenced(self)
            return refuse(attrs.evolve(self.kept.refusal, proof=proof))
        return self.answer()

    def answer(self) -> Answer:
        """Return the answer of a finalized entry for a retry."""
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

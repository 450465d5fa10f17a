"""Finds out what became of a ticket, here or at the companion that it names."""

from datetime import timedelta

import attrs
from result import Err, Ok

from pomelotrail_companion.requests import Answer, Outcome, Refusal, refuse
from pomelotrail_companion.requests.proof import prove_by_executor, prove_fenced
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.clock import Clock
from pomelotrail_core.tickets import Ticket, TicketIssuer, TicketSealer
from pomelotrail_core.timeline import EventKind, Recorder

from .const import ASK_AGAIN, MAX_HOPS
from .entry import Entry, EntryState
from .ledger import Finding, Ledger, Verdict
from .peers import CompanionError, PeerCompanions, Query
from .service_peers import ServicePeers
from .waiting import async_wait_until


@attrs.frozen
class Question:
    """Asks what became of the request under a ticket, until a deadline."""

    ticket: Ticket
    sealed: str
    fingerprint: bytes
    deadline: timedelta | None
    request: str
    hops: int = 0


class TicketResolver:
    """Answers retries: the kept answer, a fence, or that the outcome is unknown."""

    def __init__(
        self,
        mint: TicketIssuer,
        sealer: TicketSealer,
        ledger: Ledger,
        peers: PeerCompanions,
        service_peers: ServicePeers,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Answer for the tickets of ``mint`` from ``ledger``, else ask ``peers``."""
        self._own = mint.executor
        self._sealer = sealer
        self._ledger = ledger
        self._peers = peers
        self._service_peers = service_peers
        self._clock = clock
        self._recorder = recorder

    async def async_resolve(self, question: Question) -> Answer:
        """Return what became of a ticket; afterwards an unseen one never runs."""
        if self._own.issued(question.ticket):
            return await self._async_resolve_own(question)
        if question.ticket.executor == self._own.endpoint:
            return refuse(Refusal(RefusalKind.EXECUTOR_GONE, Outcome.UNKNOWN))
        if question.hops >= MAX_HOPS:
            return _refuse_unreachable("too many companions on the way")
        return await self._async_ask(question)

    def find(self, question: Question) -> Finding:
        """Return the verdict of the own ledger on an own ticket."""
        return self._ledger.find(question.ticket, question.fingerprint)

    def fence(self, question: Question) -> Entry:
        """Bar an own, unseen ticket from running, and record that."""
        entry = self._ledger.fence(question.ticket, question.fingerprint)
        self._recorder.record(EventKind.TICKET_FENCED, request=question.request)
        return entry

    def refuse_lost(self, question: Question, error: CompanionError) -> Answer:
        """Return the refusal for an executor that gave no answer.

        Its word would be final only if it were gone for good: an address that
        the configuration in force no longer lists.
        """
        if self._service_peers.is_listed(question.ticket.executor):
            return _refuse_unreachable(str(error))
        return refuse(Refusal(RefusalKind.EXECUTOR_GONE, Outcome.UNKNOWN))

    async def async_answer_known(self, question: Question, entry: Entry) -> Answer:
        """Wait for an entry to settle, and return its answer."""
        deadline = question.deadline
        if not await async_wait_until(entry.settled, deadline, self._clock):
            return refuse_running()
        if entry.state is not EntryState.DELEGATED:
            return entry.answer()
        assert entry.pointer is not None
        match self._sealer.open(entry.pointer.ticket):
            case Err(error):
                return _refuse_unreachable(str(error))
            case Ok(ticket):
                followed = attrs.evolve(
                    question,
                    ticket=ticket,
                    sealed=entry.pointer.ticket,
                    hops=question.hops + 1,
                )
                return await self.async_resolve(followed)

    async def _async_resolve_own(self, question: Question) -> Answer:
        """Answer from the own ledger."""
        finding = self.find(question)
        if finding.verdict is Verdict.KNOWN:
            assert finding.entry is not None
            return await self.async_answer_known(question, finding.entry)
        if finding.verdict is Verdict.UNSEEN:
            return self.fence(question).answer()
        return refuse_finding(finding)

    async def _async_ask(self, question: Question) -> Answer:
        """Ask the companion that the ticket names."""
        executor = question.ticket.executor
        self._recorder.record(
            EventKind.REQUEST_RELAYED,
            request=question.request,
            detail=f"asked {executor} for the outcome",
        )
        query = Query(
            question.sealed,
            question.fingerprint,
            self._time_left(question),
            question.request,
            question.hops + 1,
        )
        match await self._peers.async_resolve(executor, query):
            case Ok(answer):
                return said_by_executor(answer)
            case Err(error):
                return self.refuse_lost(question, error)

    def _time_left(self, question: Question) -> timedelta:
        """Return how long the caller still waits."""
        if question.deadline is None:
            return timedelta()
        return max(timedelta(), question.deadline - self._clock.monotonic())


def refuse_running() -> Answer:
    """Return the refusal for a request that still runs at the deadline."""
    return refuse(Refusal(RefusalKind.STILL_RUNNING, Outcome.UNKNOWN, ASK_AGAIN))


def refuse_finding(finding: Finding) -> Answer:
    """Return the refusal for a ticket that the ledger does not let run."""
    proof = prove_fenced(finding)
    match finding.verdict:
        case Verdict.OTHER_REQUEST:
            refusal = Refusal(RefusalKind.TICKET_REUSED, Outcome.NOT_RUN, proof=proof)
        case Verdict.EXPIRED:
            refusal = Refusal(RefusalKind.TICKET_FENCED, Outcome.NOT_RUN, proof=proof)
        case Verdict.FORGOTTEN:
            refusal = Refusal(RefusalKind.TICKET_FORGOTTEN, Outcome.UNKNOWN)
        case _:
            refusal = Refusal(RefusalKind.OVERLOADED, Outcome.UNKNOWN, ASK_AGAIN)
    return refuse(refusal)


def said_by_executor(answer: Answer) -> Answer:
    """Return an answer of the executor, whose "not run" is a proof."""
    if answer.refusal is None:
        return answer
    proof = prove_by_executor(answer.refusal.outcome is Outcome.NOT_RUN)
    return attrs.evolve(answer, refusal=attrs.evolve(answer.refusal, proof=proof))


def _refuse_unreachable(detail: str) -> Answer:
    """Return the refusal for an executor that may answer later."""
    kind = RefusalKind.EXECUTOR_UNREACHABLE
    return refuse(Refusal(kind, Outcome.UNKNOWN, ASK_AGAIN, detail))

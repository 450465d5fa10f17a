"""Resolves the outcome of a ticket, locally or at the executor that it names."""

from datetime import timedelta

import attrs
from result import Err, Ok

from pomelotrail_companion.requests import Answer, Outcome, Refusal, refuse
from pomelotrail_companion.requests.proof import prove_by_executor, prove_fenced
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.clock import Clock
from pomelotrail_core.tickets import Ticket, TicketIssuer, TicketSealer
from pomelotrail_core.timeline import EventKind, Recorder

from .const import MAX_HOPS, RETRY_AFTER
from .entry import Entry, EntryState
from .event_wait import async_wait_for_event
from .ledger import Ledger, TicketCheck, TicketStatus
from .peers import CompanionError, PeerCompanions, PeerQuery
from .service_peers import ServicePeers


@attrs.frozen
class TicketQuery:
    """Query for the outcome of the request of a ticket, with a deadline."""

    ticket: Ticket
    sealed: str
    fingerprint: bytes
    deadline: timedelta | None
    request: str
    hops: int = 0


class TicketResolver:
    """Answers retries with the kept answer, a fence or an unknown outcome."""

    def __init__(
        self,
        issuer: TicketIssuer,
        sealer: TicketSealer,
        ledger: Ledger,
        peers: PeerCompanions,
        service_peers: ServicePeers,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Initialize; tickets of ``issuer`` are in ``ledger``, others at ``peers``."""
        self._own_executor = issuer.executor
        self._sealer = sealer
        self._ledger = ledger
        self._peers = peers
        self._service_peers = service_peers
        self._clock = clock
        self._recorder = recorder

    async def async_resolve(self, query: TicketQuery) -> Answer:
        """Return the outcome of a ticket; an unseen one is fenced."""
        if self._own_executor.issued(query.ticket):
            return await self._async_resolve_own(query)
        if query.ticket.executor == self._own_executor.endpoint:
            return refuse(Refusal(RefusalKind.EXECUTOR_GONE, Outcome.UNKNOWN))
        if query.hops >= MAX_HOPS:
            return _refuse_unreachable("too many companions on the way")
        return await self._async_query_executor(query)

    def check(self, query: TicketQuery) -> TicketCheck:
        """Return the status of a ticket of this companion."""
        return self._ledger.check(query.ticket, query.fingerprint)

    def fence(self, query: TicketQuery) -> Entry:
        """Fence an unseen ticket of this companion, and record the event."""
        entry = self._ledger.fence(query.ticket, query.fingerprint)
        self._recorder.record(EventKind.TICKET_FENCED, request=query.request)
        return entry

    def refuse_unanswered(self, query: TicketQuery, error: CompanionError) -> Answer:
        """Return the refusal for an executor that did not answer.

        The outcome can be queried again later, unless the executor is gone for
        good: the configuration in force no longer lists its address.
        """
        if self._service_peers.is_listed(query.ticket.executor):
            return _refuse_unreachable(str(error))
        return refuse(Refusal(RefusalKind.EXECUTOR_GONE, Outcome.UNKNOWN))

    async def async_answer_from_entry(self, query: TicketQuery, entry: Entry) -> Answer:
        """Wait until an entry is finalized, and return its answer."""
        deadline = query.deadline
        if not await async_wait_for_event(entry.finalized, deadline, self._clock):
            return refuse_running()
        if entry.state is not EntryState.DELEGATED:
            return entry.answer()
        assert entry.delegation_target is not None
        match self._sealer.open(entry.delegation_target.ticket):
            case Err(error):
                return _refuse_unreachable(str(error))
            case Ok(ticket):
                followed = attrs.evolve(
                    query,
                    ticket=ticket,
                    sealed=entry.delegation_target.ticket,
                    hops=query.hops + 1,
                )
                return await self.async_resolve(followed)

    async def _async_resolve_own(self, query: TicketQuery) -> Answer:
        """Return the outcome of a ticket of this companion, from its ledger."""
        check = self.check(query)
        if check.status is TicketStatus.KNOWN:
            assert check.entry is not None
            return await self.async_answer_from_entry(query, check.entry)
        if check.status is TicketStatus.UNSEEN:
            return self.fence(query).answer()
        return refuse_ticket(check)

    async def _async_query_executor(self, query: TicketQuery) -> Answer:
        """Query the executor that the ticket names."""
        executor = query.ticket.executor
        self._recorder.record(
            EventKind.REQUEST_RELAYED,
            request=query.request,
            detail=f"asked {executor} for the outcome",
        )
        peer_query = PeerQuery(
            query.sealed,
            query.fingerprint,
            self._remaining_time(query),
            query.request,
            query.hops + 1,
        )
        match await self._peers.async_resolve(executor, peer_query):
            case Ok(answer):
                return attach_executor_proof(answer)
            case Err(error):
                return self.refuse_unanswered(query, error)

    def _remaining_time(self, query: TicketQuery) -> timedelta:
        """Return the time until the deadline of the caller."""
        if query.deadline is None:
            return timedelta()
        return max(timedelta(), query.deadline - self._clock.monotonic())


def refuse_running() -> Answer:
    """Return the refusal for a request that is still running at the deadline."""
    return refuse(Refusal(RefusalKind.STILL_RUNNING, Outcome.UNKNOWN, RETRY_AFTER))


def refuse_ticket(check: TicketCheck) -> Answer:
    """Return the refusal for a ticket that the ledger does not allow to run."""
    proof = prove_fenced(check)
    match check.status:
        case TicketStatus.OTHER_REQUEST:
            refusal = Refusal(RefusalKind.TICKET_REUSED, Outcome.NOT_RUN, proof=proof)
        case TicketStatus.EXPIRED:
            refusal = Refusal(RefusalKind.TICKET_FENCED, Outcome.NOT_RUN, proof=proof)
        case TicketStatus.FORGOTTEN:
            refusal = Refusal(RefusalKind.TICKET_FORGOTTEN, Outcome.UNKNOWN)
        case _:
            refusal = Refusal(RefusalKind.OVERLOADED, Outcome.UNKNOWN, RETRY_AFTER)
    return refuse(refusal)


def attach_executor_proof(answer: Answer) -> Answer:
    """Return an answer of the executor with a proof, if it reports "not run"."""
    if answer.refusal is None:
        return answer
    proof = prove_by_executor(answer.refusal.outcome is Outcome.NOT_RUN)
    return attrs.evolve(answer, refusal=attrs.evolve(answer.refusal, proof=proof))


def _refuse_unreachable(detail: str) -> Answer:
    """Return the refusal for an executor that may answer later."""
    kind = RefusalKind.EXECUTOR_UNREACHABLE
    return refuse(Refusal(kind, Outcome.UNKNOWN, RETRY_AFTER, detail))

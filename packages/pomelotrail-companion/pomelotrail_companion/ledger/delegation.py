"""Hands the work of a leaving companion to the others of its service."""

import attrs
from result import Err, Ok

from pomelotrail_companion.requests import (
    Answer,
    Header,
    Outcome,
    Refusal,
    Request,
    RequestRelay,
    refuse,
)
from pomelotrail_companion.requests.proof import prove_fenced
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.timeline import EventKind, Recorder

from .const import ASK_AGAIN, MAX_HOPS, MAX_PEERS_TRIED, TICKET_HEADER
from .entry import Pointer
from .ledger import Ledger, Verdict
from .peers import PeerCompanions, Reach
from .resolver import Question, TicketResolver, said_by_executor
from .service_peers import ServicePeers


class CompanionRelay(RequestRelay):
    """Hands idempotent requests to another companion of the service."""

    def __init__(
        self, peers: PeerCompanions, service_peers: ServicePeers, recorder: Recorder
    ) -> None:
        """Choose among ``service_peers`` and reach them by ``peers``."""
        self._peers = peers
        self._service_peers = service_peers
        self._recorder = recorder

    async def async_relay(self, request: Request) -> Answer:
        """Return the answer of the first companion that can be reached."""
        if request.hops >= MAX_HOPS:
            return refuse_leaving()
        for endpoint in self._service_peers.candidates()[:MAX_PEERS_TRIED]:
            self._recorder.record(
                EventKind.REQUEST_RELAYED,
                flow=request.flow,
                request=request.identifier,
                detail=f"to {endpoint}",
            )
            request.contact.begin()
            match await self._peers.async_run(endpoint, request):
                case Ok(answer):
                    refusal = answer.refusal
                    if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
                        request.contact.record_not_run()
                    return answer
                case Err(error):
                    if error.reach is Reach.BROKE_OFF:
                        kind = RefusalKind.BACKEND_FAILED
                        return refuse(Refusal(kind, Outcome.UNKNOWN, detail=str(error)))
        return refuse(
            Refusal(
                RefusalKind.LEAVING,
                Outcome.UNKNOWN if request.contact.has_begun else Outcome.NOT_RUN,
                ASK_AGAIN,
            )
        )


class Delegation:
    """Hands tickets of a leaving companion on, recording each one first."""

    def __init__(
        self,
        ledger: Ledger,
        resolver: TicketResolver,
        peers: PeerCompanions,
        service_peers: ServicePeers,
        recorder: Recorder,
    ) -> None:
        """Delegate unseen tickets of ``ledger``."""
        self._ledger = ledger
        self._resolver = resolver
        self._peers = peers
        self._service_peers = service_peers
        self._recorder = recorder

    async def async_delegate(self, question: Question, request: Request) -> Answer:
        """Hand an own, unseen ticket to another companion and return its answer."""
        pointer = await self._async_pointer() if request.hops < MAX_HOPS else None
        if self._resolver.find(question).verdict is not Verdict.UNSEEN:
            return await self._resolver.async_resolve(question)
        if pointer is None:
            proof = prove_fenced(self._resolver.fence(question))
            return refuse(
                Refusal(RefusalKind.LEAVING, Outcome.NOT_RUN, ASK_AGAIN, proof=proof)
            )
        # Recorded before it is sent: a retry that comes first follows the pointer.
        self._ledger.delegate(question.ticket, question.fingerprint, pointer)
        self._recorder.record(
            EventKind.TICKET_DELEGATED,
            request=question.request,
            detail=f"to {pointer.executor}",
        )
        return await self._async_hand_over(question, request, pointer)

    async def async_forward(self, question: Question, request: Request) -> Answer:
        """Hand a request to the companion that its ticket names."""
        pointer = Pointer(question.ticket.executor, question.sealed)
        return await self._async_hand_over(question, request, pointer)

    async def _async_hand_over(
        self, question: Question, request: Request, pointer: Pointer
    ) -> Answer:
        """Send a request to an executor under its ticket."""
        handed = attrs.evolve(request, headers=_with_ticket(request, pointer.ticket))
        match await self._peers.async_run(pointer.executor, handed):
            case Ok(answer):
                return said_by_executor(answer)
            case Err(error):
                return self._resolver.refuse_lost(question, error)

    async def _async_pointer(self) -> Pointer | None:
        """Return another executor with a ticket of its own, if one answers."""
        service = self._service_peers.service
        for endpoint in self._service_peers.candidates()[:MAX_PEERS_TRIED]:
            match await self._peers.async_issue_ticket(endpoint, service):
                case Ok(ticket):
                    return Pointer(endpoint, ticket)
                case Err(_):
                    continue
        return None


def refuse_leaving() -> Answer:
    """Return the refusal of a companion that takes no new work."""
    return refuse(Refusal(RefusalKind.LEAVING, Outcome.NOT_RUN, ASK_AGAIN))


def _with_ticket(request: Request, ticket: str) -> tuple[Header, ...]:
    """Return the headers of a request under another ticket."""
    others = (each for each in request.headers if each.name != TICKET_HEADER)
    return (*others, Header(TICKET_HEADER, ticket))

"""Hands over requests of a leaving companion to other companions of its service."""

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

from .const import MAX_HOPS, MAX_PEERS_TRIED, RETRY_AFTER, TICKET_HEADER
from .entry import DelegationTarget
from .ledger import Ledger, TicketStatus
from .peers import FailureReason, PeerCompanions
from .resolver import TicketQuery, TicketResolver, attach_executor_proof
from .service_peers import ServicePeers


class CompanionRelay(RequestRelay):
    """Relays idempotent requests to another companion of the service."""

    def __init__(
        self, peers: PeerCompanions, service_peers: ServicePeers, recorder: Recorder
    ) -> None:
        """Initialize with the candidates and the client that sends to them."""
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
                    if error.reason is FailureReason.BROKE_OFF:
                        kind = RefusalKind.BACKEND_FAILED
                        return refuse(Refusal(kind, Outcome.UNKNOWN, detail=str(error)))
        return refuse(
            Refusal(
                RefusalKind.LEAVING,
                Outcome.UNKNOWN if request.contact.has_begun else Outcome.NOT_RUN,
                RETRY_AFTER,
            )
        )


class Delegation:
    """Delegates tickets of a leaving companion, recording each one first."""

    def __init__(
        self,
        ledger: Ledger,
        resolver: TicketResolver,
        peers: PeerCompanions,
        service_peers: ServicePeers,
        recorder: Recorder,
    ) -> None:
        """Initialize for the unseen tickets of ``ledger``."""
        self._ledger = ledger
        self._resolver = resolver
        self._peers = peers
        self._service_peers = service_peers
        self._recorder = recorder

    async def async_delegate(self, query: TicketQuery, request: Request) -> Answer:
        """Delegate an unseen ticket of this companion and return the answer."""
        target = await self._async_choose_target() if request.hops < MAX_HOPS else None
        if self._resolver.check(query).status is not TicketStatus.UNSEEN:
            return await self._resolver.async_resolve(query)
        if target is None:
            proof = prove_fenced(self._resolver.fence(query))
            return refuse(
                Refusal(RefusalKind.LEAVING, Outcome.NOT_RUN, RETRY_AFTER, proof=proof)
            )
        # Recorded before the request is sent, so that a retry that arrives first is
        # sent to the same executor.
        self._ledger.delegate(query.ticket, query.fingerprint, target)
        self._recorder.record(
            EventKind.TICKET_DELEGATED,
            request=query.request,
            detail=f"to {target.executor}",
        )
        return await self._async_hand_over(query, request, target)

    async def async_forward(self, query: TicketQuery, request: Request) -> Answer:
        """Forward a request to the executor that its ticket names."""
        target = DelegationTarget(query.ticket.executor, query.sealed)
        return await self._async_hand_over(query, request, target)

    async def _async_hand_over(
        self, query: TicketQuery, request: Request, target: DelegationTarget
    ) -> Answer:
        """Send a request to an executor under its ticket."""
        delegated = attrs.evolve(request, headers=_with_ticket(request, target.ticket))
        match await self._peers.async_run(target.executor, delegated):
            case Ok(answer):
                return attach_executor_proof(answer)
            case Err(error):
                return self._resolver.refuse_unanswered(query, error)

    async def _async_choose_target(self) -> DelegationTarget | None:
        """Return another executor with a ticket that it issued, if one answers."""
        service = self._service_peers.service
        for endpoint in self._service_peers.candidates()[:MAX_PEERS_TRIED]:
            match await self._peers.async_issue_ticket(endpoint, service):
                case Ok(ticket):
                    return DelegationTarget(endpoint, ticket)
                case Err(_):
                    continue
        return None


def refuse_leaving() -> Answer:
    """Return the refusal of a companion that accepts no new requests."""
    return refuse(Refusal(RefusalKind.LEAVING, Outcome.NOT_RUN, RETRY_AFTER))


def _with_ticket(request: Request, ticket: str) -> tuple[Header, ...]:
    """Return the headers of a request under another ticket."""
    others = (header for header in request.headers if header.name != TICKET_HEADER)
    return (*others, Header(TICKET_HEADER, ticket))

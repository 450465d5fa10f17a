"""Handler that runs requests of run-once classes at most once."""

import asyncio
from collections.abc import Callable

import attrs
from result import Err, Ok

from pomelotrail_companion.requests import (
    Answer,
    Outcome,
    Refusal,
    Request,
    RequestHandler,
    refuse,
)
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.clock import Clock
from pomelotrail_core.tickets import TicketError, TicketIssuer, TicketSealer

from .buffered_body import async_buffer_body, compute_fingerprint
from .const import TICKET_HEADER
from .delegation import Delegation
from .event_wait import async_wait_for_event
from .executions import Executions
from .ledger import Ledger, TicketStatus
from .offers import TicketOffers
from .resolver import TicketQuery, TicketResolver, refuse_running, refuse_ticket


class RunOnceHandler(RequestHandler):
    """Runs a request only if its ticket names this companion as the executor.

    Requests of other classes go to ``others``. Every answer offers new tickets,
    unless the companion is leaving.
    """

    def __init__(
        self,
        issuer: TicketIssuer,
        sealer: TicketSealer,
        ledger: Ledger,
        executions: Executions,
        resolver: TicketResolver,
        delegation: Delegation,
        is_leaving: Callable[[], bool],
        others: RequestHandler,
        clock: Clock,
    ) -> None:
        """Initialize; ``executions`` runs requests under tickets of this companion."""
        self._own_executor = issuer.executor
        self._sealer = sealer
        self._ledger = ledger
        self._executions = executions
        self._resolver = resolver
        self._delegation = delegation
        self._is_leaving = is_leaving
        self._other_classes_handler = others
        self._clock = clock
        self._offers = TicketOffers(issuer)

    async def async_handle(self, request: Request) -> Answer:
        """Answer a request whose class has been determined."""
        assert request.request_class is not None
        if request.request_class.run_once:
            answer = await self._async_run_once(request)
            answer = self._offers.offer_retry(answer)
        else:
            answer = await self._other_classes_handler.async_handle(request)
        return answer if self._is_leaving() else self._offers.offer(answer)

    async def _async_run_once(self, request: Request) -> Answer:
        """Answer a request that must not run twice."""
        sealed = request.header(TICKET_HEADER)
        if sealed is None:
            return refuse(Refusal(RefusalKind.TICKET_REQUIRED, Outcome.NOT_RUN))
        match self._sealer.open(sealed):
            case Err(error):
                return _refuse_unreadable_key(error)
            case Ok(ticket):
                pass
        if ticket.service_number != self._own_executor.service_number:
            detail = "the Idempotency-Key is one of another service"
            kind = RefusalKind.TICKET_REQUIRED
            return refuse(Refusal(kind, Outcome.NOT_RUN, detail=detail))
        # The request may have run before under this ticket: from here on, "not run"
        # needs a proof by the executor.
        request.contact.begin()
        buffered = await async_buffer_body(request.body)
        query = TicketQuery(
            ticket,
            sealed,
            compute_fingerprint(request.method, request.path, buffered),
            request.deadline,
            request.identifier,
            request.hops,
        )
        buffered_request = attrs.evolve(request, body=buffered.async_read())
        if self._own_executor.issued(ticket):
            return await self._async_handle_own_ticket(query, buffered_request)
        is_elsewhere = ticket.executor != self._own_executor.endpoint
        if self._is_leaving() and is_elsewhere:
            return await self._delegation.async_forward(query, buffered_request)
        return await self._resolver.async_resolve(query)

    async def _async_handle_own_ticket(
        self, query: TicketQuery, request: Request
    ) -> Answer:
        """Answer a request under a ticket of this companion."""
        check = self._resolver.check(query)
        if check.status is TicketStatus.KNOWN:
            assert check.entry is not None
            return await self._resolver.async_answer_from_entry(query, check.entry)
        if check.status is not TicketStatus.UNSEEN:
            return refuse_ticket(check)
        if self._is_leaving():
            return await self._delegation.async_delegate(query, request)
        return await self._async_execute(query, request)

    async def _async_execute(self, query: TicketQuery, request: Request) -> Answer:
        """Run a request, which continues when its caller disconnects."""
        entry = self._ledger.start(query.ticket, query.fingerprint)
        request.contact.record_not_run()
        pipe = self._executions.start(entry, request)
        deadline = request.deadline
        try:
            if not await async_wait_for_event(pipe.ready, deadline, self._clock):
                pipe.detach_reader()
                return refuse_running()
        except asyncio.CancelledError:
            pipe.detach_reader()
            raise
        return pipe.answer or entry.first_answer()


def _refuse_unreadable_key(error: TicketError) -> Answer:
    """Return the refusal for an Idempotency-Key that could not be opened.

    A request can't have run under a key that was never a ticket. It may have run
    under a ticket whose token key is no longer in the settings.
    """
    if error is TicketError.UNREADABLE:
        kind, outcome = RefusalKind.TICKET_UNREADABLE, Outcome.UNKNOWN
    else:
        kind, outcome = RefusalKind.TICKET_REQUIRED, Outcome.NOT_RUN
    return refuse(Refusal(kind, outcome, detail=str(error)))

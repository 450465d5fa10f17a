"""The step that runs requests of run-once classes at most once."""

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

from .const import TICKET_HEADER
from .delegation import Delegation
from .executions import Executions
from .held_body import async_hold, fingerprint
from .ledger import Ledger, Verdict
from .offers import TicketOffers
from .resolver import Question, TicketResolver, refuse_finding, refuse_running
from .waiting import async_wait_until


class OnceHandler(RequestHandler):
    """Runs a request only as the executor that its ticket names.

    Requests of other classes go to the step named ``others``. Every answer
    offers fresh tickets, unless the companion is leaving.
    """

    def __init__(
        self,
        mint: TicketIssuer,
        sealer: TicketSealer,
        ledger: Ledger,
        executions: Executions,
        resolver: TicketResolver,
        delegation: Delegation,
        is_leaving: Callable[[], bool],
        others: RequestHandler,
        clock: Clock,
    ) -> None:
        """Run requests of own tickets by ``executions``, others by the rest."""
        self._own = mint.executor
        self._sealer = sealer
        self._ledger = ledger
        self._executions = executions
        self._resolver = resolver
        self._delegation = delegation
        self._is_leaving = is_leaving
        self._others = others
        self._clock = clock
        self._offers = TicketOffers(mint)

    async def async_handle(self, request: Request) -> Answer:
        """Answer a request whose class is known."""
        assert request.request_class is not None
        if request.request_class.run_once:
            answer = await self._async_run_once(request)
            answer = self._offers.offer_retry(answer)
        else:
            answer = await self._others.async_handle(request)
        return answer if self._is_leaving() else self._offers.offer(answer)

    async def _async_run_once(self, request: Request) -> Answer:
        """Answer a request that must not run twice."""
        sealed = request.header(TICKET_HEADER)
        if sealed is None:
            return refuse(Refusal(RefusalKind.TICKET_REQUIRED, Outcome.NOT_RUN))
        match self._sealer.open(sealed):
            case Err(error):
                return _refuse_unopened(error)
            case Ok(ticket):
                pass
        if ticket.service_number != self._own.service_number:
            detail = "the Idempotency-Key is one of another service"
            kind = RefusalKind.TICKET_REQUIRED
            return refuse(Refusal(kind, Outcome.NOT_RUN, detail=detail))
        # Under this ticket the request may have run before: from here on "not
        # run" takes the word of the executor.
        request.contact.begin()
        held = await async_hold(request.body)
        question = Question(
            ticket,
            sealed,
            fingerprint(request.method, request.path, held),
            request.deadline,
            request.identifier,
            request.hops,
        )
        held_request = attrs.evolve(request, body=held.async_read())
        if self._own.issued(ticket):
            return await self._async_own(question, held_request)
        is_elsewhere = ticket.executor != self._own.endpoint
        if self._is_leaving() and is_elsewhere:
            return await self._delegation.async_forward(question, held_request)
        return await self._resolver.async_resolve(question)

    async def _async_own(self, question: Question, request: Request) -> Answer:
        """Answer a request under an own ticket."""
        finding = self._resolver.find(question)
        if finding.verdict is Verdict.KNOWN:
            assert finding.entry is not None
            return await self._resolver.async_answer_known(question, finding.entry)
        if finding.verdict is not Verdict.UNSEEN:
            return refuse_finding(finding)
        if self._is_leaving():
            return await self._delegation.async_delegate(question, request)
        return await self._async_execute(question, request)

    async def _async_execute(self, question: Question, request: Request) -> Answer:
        """Run a request; it runs on when its caller goes away."""
        entry = self._ledger.start(question.ticket, question.fingerprint)
        request.contact.record_not_run()
        handover = self._executions.start(entry, request)
        deadline = request.deadline
        try:
            if not await async_wait_until(handover.ready, deadline, self._clock):
                handover.abandon()
                return refuse_running()
        except asyncio.CancelledError:
            handover.abandon()
            raise
        return handover.answer or entry.first_answer()


def _refuse_unopened(error: TicketError) -> Answer:
    """Return the refusal for a key that could not be opened.

    A key that was never a ticket has never run. One whose sealing key is gone
    may have.
    """
    if error is TicketError.UNREADABLE:
        kind, outcome = RefusalKind.TICKET_UNREADABLE, Outcome.UNKNOWN
    else:
        kind, outcome = RefusalKind.TICKET_REQUIRED, Outcome.NOT_RUN
    return refuse(Refusal(kind, outcome, detail=str(error)))

"""First handler of a request: sets its class of work and its deadline."""

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import ConfigurationCoordinator, RequestClass
from pomelotrail_core.timeline import Recorder

from .accounting import RequestAccounting
from .body_limit import async_limit_body, is_declared_too_large
from .errors import BodyTooLarge
from .handler import RequestHandler
from .journal import RequestJournal
from .messages import Answer, Request
from .proof import prove_by_contact
from .refusals import Outcome, Refusal, RefusalKind, downgrade_unproven, refuse


class Dispatcher(RequestHandler):
    """Passes requests of known classes to the next handler.

    It is the last handler that sees an answer before the caller does, so it checks
    the proof of every refusal.
    """

    def __init__(
        self,
        service: str,
        coordinator: ConfigurationCoordinator,
        clock: Clock,
        recorder: Recorder,
        next_handler: RequestHandler,
        accounting: RequestAccounting | None = None,
    ) -> None:
        """Initialize for one service."""
        self._service = service
        self._coordinator = coordinator
        self._clock = clock
        self._next = next_handler
        self._journal = RequestJournal(clock, recorder, accounting)

    async def async_handle(self, request: Request) -> Answer:
        """Answer a request, recording its start and its end."""
        request_class = self._request_class(request)
        entry = self._journal.begin(request, request_class)
        try:
            answer = await self._async_answer(request, request_class)
        except BaseException:
            self._journal.abandon(entry)
            raise
        return self._journal.finish(entry, answer)

    async def _async_answer(
        self, request: Request, request_class: RequestClass | None
    ) -> Answer:
        """Pass on a request of a known class, and check the proof of a refusal."""
        if request_class is None:
            return refuse(Refusal(RefusalKind.UNKNOWN_CLASS, Outcome.NOT_RUN))
        limit = request_class.body_limit
        if is_declared_too_large(request, limit):
            return refuse(Refusal(RefusalKind.BODY_TOO_LARGE, Outcome.NOT_RUN))
        latest = self._clock.monotonic() + request_class.deadline
        known = attrs.evolve(
            request,
            request_class=request_class,
            deadline=min(request.deadline or latest, latest),
            body=async_limit_body(request.body, limit),
        )
        try:
            answer = await self._next.async_handle(known)
        except BodyTooLarge:
            proof = prove_by_contact(request.contact)
            outcome = Outcome.UNKNOWN if proof is None else Outcome.NOT_RUN
            answer = refuse(Refusal(RefusalKind.BODY_TOO_LARGE, outcome))
        return downgrade_unproven(answer, request.contact)

    def _request_class(self, request: Request) -> RequestClass | None:
        """Return the class of a request in the configuration in force."""
        configuration = self._coordinator.current
        service = configuration.service(self._service) if configuration else None
        if service is None:
            return None
        return service.request_class(request.method, request.path.partition("?")[0])

"""The first step of a request: finds its class of work and its deadline."""

import attrs

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import ConfigurationCoordinator, RequestClass
from pomelotrail_core.timeline import EventKind, Recorder

from .handler import RequestHandler
from .messages import Answer, Request
from .refusals import Outcome, Refusal, RefusalKind, refuse


class Dispatcher(RequestHandler):
    """Hands requests of known classes to the next step."""

    def __init__(
        self,
        service: str,
        coordinator: ConfigurationCoordinator,
        clock: Clock,
        recorder: Recorder,
        next_handler: RequestHandler,
    ) -> None:
        """Dispatch for one service."""
        self._service = service
        self._coordinator = coordinator
        self._clock = clock
        self._recorder = recorder
        self._next = next_handler

    async def async_handle(self, request: Request) -> Answer:
        """Answer a request, recording its start and its end."""
        request_class = self._request_class(request)
        if request_class is None:
            return refuse(Refusal(RefusalKind.UNKNOWN_CLASS, Outcome.NOT_RUN))
        started = self._recorder.record(
            EventKind.REQUEST_STARTED,
            flow=request.flow,
            request=request.identifier,
            detail=request_class.name,
        )
        known = attrs.evolve(
            request,
            request_class=request_class,
            deadline=self._clock.monotonic() + request_class.deadline,
        )
        answer = await self._next.async_handle(known)
        self._recorder.record(
            EventKind.REQUEST_ANSWERED,
            flow=request.flow,
            request=request.identifier,
            cause=started,
            detail=f"status {answer.status}",
        )
        return answer

    def _request_class(self, request: Request) -> RequestClass | None:
        """Return the class of a request by the configuration in force."""
        configuration = self._coordinator.current
        service = configuration.service(self._service) if configuration else None
        if service is None:
            return None
        return service.request_class(request.method, request.path.partition("?")[0])

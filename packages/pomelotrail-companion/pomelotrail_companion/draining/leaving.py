"""Relay of new requests of a leaving backend server to another companion."""

from collections.abc import Callable

from pomelotrail_companion.requests import (
    Answer,
    Outcome,
    Refusal,
    Request,
    RequestHandler,
    RequestRelay,
    refuse,
)
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.timeline import EventKind, Recorder

from .const import RETRY_AFTER


class LeavingStep(RequestHandler):
    """Send no new requests to a leaving backend server.

    Existing flows stay open: another companion runs their new requests, and this one
    returns the responses. Requests that must not run twice have a named executor, so
    the previous step, which owns their tickets, hands them over.
    """

    def __init__(
        self,
        is_leaving: Callable[[], bool],
        relay: RequestRelay,
        recorder: Recorder,
        next_handler: RequestHandler,
    ) -> None:
        """Initialize the step; ``relay`` is used while the server is leaving."""
        self._is_leaving = is_leaving
        self._relay = relay
        self._recorder = recorder
        self._next = next_handler

    async def async_handle(self, request: Request) -> Answer:
        """Pass a request to the next step or to another companion."""
        if not self._is_leaving():
            return await self._next.async_handle(request)
        self._recorder.record(
            EventKind.REQUEST_RELAYED,
            flow=request.flow,
            request=request.identifier,
            cause=self._recorder.latest(EventKind.DRAINING, EventKind.ZONE_OUT),
            detail="leaving",
        )
        return await self._relay.async_relay(request)


class RefusingRelay(RequestRelay):
    """Refuse requests if no other companion is available."""

    async def async_relay(self, request: Request) -> Answer:
        """Return a refusal which states that the request has not been run."""
        return refuse(Refusal(RefusalKind.LEAVING, Outcome.NOT_RUN, RETRY_AFTER))

"""Sends the new requests of a leaving backend server to another companion."""

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
    """Gives the backend server no new work once it leaves.

    Old flows stay open: their new requests are run by another companion and
    answered here. Requests that must not run twice have a named executor, so
    they are handed on by the step before this one, which owns their tickets.
    """

    def __init__(
        self,
        is_leaving: Callable[[], bool],
        relay: RequestRelay,
        recorder: Recorder,
        next_handler: RequestHandler,
    ) -> None:
        """Relay with ``relay`` while the backend server is leaving."""
        self._is_leaving = is_leaving
        self._relay = relay
        self._recorder = recorder
        self._next = next_handler

    async def async_handle(self, request: Request) -> Answer:
        """Hand a request to the next step or to another companion."""
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


class NoRelay(RequestRelay):
    """Refuses, where there is no other companion to ask."""

    async def async_relay(self, request: Request) -> Answer:
        """Say that the request has not been run."""
        return refuse(Refusal(RefusalKind.LEAVING, Outcome.NOT_RUN, RETRY_AFTER))

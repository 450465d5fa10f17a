"""Ends a companion without cutting a request."""

from datetime import timedelta

from pomelotrail_companion.edge.caller_edge import CallerEdge
from pomelotrail_core.clock import Clock
from pomelotrail_core.logs import get_logger
from pomelotrail_core.timeline import EventKind, Recorder

from .const import CLOSE_GRACE, DRAIN_POLL, LEAVING_NOTICE
from .state import DrainingState

_LOGGER = get_logger("draining")


class GracefulShutdown:
    """Announces the end, waits for the running requests, and closes.

    During the notice, callers that were told by GOAWAY open their next flow
    elsewhere, and new requests on old flows are still answered. After it no
    further request is processed. ``limit`` bounds the wait for running ones,
    an open board among them; None waits for all of them.
    """

    def __init__(
        self,
        edge: CallerEdge,
        state: DrainingState,
        clock: Clock,
        recorder: Recorder,
        limit: timedelta | None,
    ) -> None:
        """Shut down the flows of ``edge``."""
        self._edge = edge
        self._state = state
        self._clock = clock
        self._recorder = recorder
        self._limit = limit

    async def async_run(self) -> None:
        """Return when every flow has been closed."""
        began = self._clock.monotonic()
        stopping = self._recorder.record(EventKind.PROCESS_STOPPING)
        self._state.stop()
        if self._edge.flow_count:
            await self._clock.async_sleep(LEAVING_NOTICE)
        self._edge.refuse_requests()
        while self._edge.flow_count and not self._is_over(began):
            self._edge.close_idle()
            await self._clock.async_sleep(DRAIN_POLL)
        self._cut_the_rest(stopping)
        await self._clock.async_sleep(CLOSE_GRACE)

    def _is_over(self, began: timedelta) -> bool:
        """Tell whether the limit has passed."""
        if self._limit is None:
            return False
        return self._clock.monotonic() - began >= self._limit

    def _cut_the_rest(self, cause: str) -> None:
        """Close what is still open after the limit, and say so."""
        busy = self._edge.busy_flow_count
        if busy:
            _LOGGER.warning("Closing %d flows with running requests", busy)
            detail = f"limit reached, {busy} flows with running requests closed"
            self._recorder.record(EventKind.DRAINING, cause=cause, detail=detail)
        self._edge.close_all("leaving")

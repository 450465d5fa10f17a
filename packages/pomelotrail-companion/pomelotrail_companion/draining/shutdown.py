"""Graceful shutdown of a companion."""

from datetime import timedelta

from pomelotrail_companion.edge.caller_edge import CallerEdge
from pomelotrail_core.clock import Clock
from pomelotrail_core.logs import get_logger
from pomelotrail_core.timeline import EventKind, Recorder

from .const import CLOSE_GRACE_PERIOD, DRAIN_POLL_INTERVAL, LEAVING_NOTICE_PERIOD
from .state import DrainingState

_LOGGER = get_logger("draining")


class GracefulShutdown:
    """Announce the shutdown, wait for running requests, and close all flows.

    During the notice period, callers that received GOAWAY open their next flow
    elsewhere, and new requests on existing flows are still answered. After it no
    further request is processed. ``limit`` bounds the wait for running requests,
    including open streams; None waits for all of them.
    """

    def __init__(
        self,
        edge: CallerEdge,
        state: DrainingState,
        clock: Clock,
        recorder: Recorder,
        limit: timedelta | None,
    ) -> None:
        """Initialize the shutdown of the flows of ``edge``."""
        self._edge = edge
        self._state = state
        self._clock = clock
        self._recorder = recorder
        self._limit = limit

    async def async_run(self) -> None:
        """Run the shutdown until every flow is closed."""
        started = self._clock.monotonic()
        stopping = self._recorder.record(EventKind.PROCESS_STOPPING)
        self._state.stop()
        if self._edge.flow_count:
            await self._clock.async_sleep(LEAVING_NOTICE_PERIOD)
        self._edge.refuse_requests()
        while self._edge.flow_count and not self._is_limit_reached(started):
            self._edge.close_idle()
            await self._clock.async_sleep(DRAIN_POLL_INTERVAL)
        self._close_remaining(stopping)
        await self._clock.async_sleep(CLOSE_GRACE_PERIOD)

    def _is_limit_reached(self, started: timedelta) -> bool:
        """Return whether the time limit has passed."""
        if self._limit is None:
            return False
        return self._clock.monotonic() - started >= self._limit

    def _close_remaining(self, cause: str) -> None:
        """Close the remaining flows and record those with running requests."""
        busy = self._edge.busy_flow_count
        if busy:
            _LOGGER.warning("Closing %d flows with running requests", busy)
            detail = f"limit reached, {busy} flows with running requests closed"
            self._recorder.record(EventKind.DRAINING, cause=cause, detail=detail)
        self._edge.close_all("leaving")

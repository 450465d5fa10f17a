"""Callers that keep a flow open, move on GOAWAY and count broken flows."""

import asyncio
import contextlib
from typing import Final

import attrs

from pomelotrail_core.endpoint import Endpoint
from stand_ins.caller import Caller, FlowLostError, async_connect

ANSWER_TIMEOUT_SECONDS: Final = 15.0
OPEN_TIMEOUT_SECONDS: Final = 10.0
LATENCY_TARGET_SECONDS: Final = 0.3
REQUEST_INTERVAL_SECONDS: Final = 0.3
RETRY_DELAY_SECONDS: Final = 0.5
_REFUSAL_STATUSES: Final = (404, 503)


@attrs.define
class CallerFigures:
    """Counts of the callers; a flow closed after GOAWAY has moved.

    ``within_target`` counts answers within the latency target of the class.
    """

    flows: int = 0
    broken_flows: int = 0
    moved_flows: int = 0
    openings_failed: int = 0
    sent: int = 0
    answered: int = 0
    within_target: int = 0
    refused: int = 0


class RoamingCaller:
    """One caller with one flow at a time."""

    def __init__(
        self,
        address: Endpoint,
        figures: CallerFigures,
        requests_per_flow: int | None = None,
        path: str = "/readings",
    ) -> None:
        """Initialize with the address of a service and the figures to count in.

        After ``requests_per_flow`` requests the caller opens a new flow.
        """
        self._requests_per_flow = requests_per_flow
        self._address = address
        self.figures = figures
        self._path = path
        self._is_stopped = False

    def stop(self) -> None:
        """Close the flow after the request in flight."""
        self._is_stopped = True

    async def async_run(self) -> None:
        """Keep a flow open until stopped."""
        flow: _OpenFlow | None = None
        while not self._is_stopped:
            if flow is None:
                flow = await self._async_open()
                continue
            if flow.caller.goaway_received.is_set():
                flow = await self._async_move(flow)
                continue
            if not await self._async_send_request(flow.caller):
                self.figures.broken_flows += 1
                await flow.async_close()
                flow = None
                continue
            flow.requests += 1
            if flow.requests == self._requests_per_flow:
                await flow.async_close()
                flow = None
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        if flow is not None:
            await flow.async_close()

    async def _async_open(self) -> "_OpenFlow | None":
        """Return a new flow, or None after a delay if opening failed."""
        stack = contextlib.AsyncExitStack()
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
                caller = await stack.enter_async_context(
                    async_connect(self._address.host, self._address.port)
                )
        except (ConnectionError, TimeoutError):
            self.figures.openings_failed += 1
            await asyncio.sleep(RETRY_DELAY_SECONDS)
            return None
        self.figures.flows += 1
        return _OpenFlow(caller, stack)

    async def _async_move(self, old_flow: "_OpenFlow") -> "_OpenFlow | None":
        """Open a new flow before closing the old one, as GOAWAY requests."""
        new_flow = await self._async_open()
        if new_flow is None:
            self.figures.broken_flows += old_flow.caller.is_terminated
            return None if old_flow.caller.is_terminated else old_flow
        self.figures.moved_flows += 1
        await old_flow.async_close()
        return new_flow

    async def _async_send_request(self, caller: Caller) -> bool:
        """Send a request; return False if the flow is broken."""
        figures = self.figures
        start = asyncio.get_running_loop().time()
        figures.sent += 1
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                response = await caller.async_request("GET", self._path)
        except (FlowLostError, ConnectionError, TimeoutError):
            return False
        if response.status in _REFUSAL_STATUSES:
            figures.refused += 1
        else:
            figures.answered += 1
            elapsed = asyncio.get_running_loop().time() - start
            figures.within_target += elapsed <= LATENCY_TARGET_SECONDS
        return True


@attrs.define
class _OpenFlow:
    """A flow and the exit stack that closes it."""

    caller: Caller
    stack: contextlib.AsyncExitStack
    requests: int = 0

    async def async_close(self) -> None:
        """Close the flow from the caller's side."""
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
                await self.stack.aclose()

"""Callers that stay connected, move when asked to, and notice broken flows."""

import asyncio
import contextlib
from typing import Final

import attrs

from pomelotrail_core.endpoint import Endpoint
from stand_ins.caller import Caller, FlowLostError, async_connect

ANSWER_SECONDS: Final = 15.0
OPEN_SECONDS: Final = 10.0
TARGET_SECONDS: Final = 0.3
THINK_SECONDS: Final = 0.3
RETRY_SECONDS: Final = 0.5
_NOT_IN_USE: Final = (404, 503)


@attrs.define
class CallerFigures:
    """What callers saw; a flow that was left after GOAWAY has moved.

    ``within`` counts answers within the target of the class.
    """

    flows: int = 0
    broken: int = 0
    moved: int = 0
    openings_failed: int = 0
    asked: int = 0
    answered: int = 0
    within: int = 0
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
        """Call the service at an address and note what happens.

        After ``requests_per_flow`` the caller opens a new flow by itself.
        """
        self._requests_per_flow = requests_per_flow
        self._address = address
        self.figures = figures
        self._path = path
        self._is_stopped = False

    def stop(self) -> None:
        """Close the flow after the request under way."""
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
            if not await self._async_ask(flow.caller):
                self.figures.broken += 1
                await flow.async_close()
                flow = None
                continue
            flow.requests += 1
            if flow.requests == self._requests_per_flow:
                await flow.async_close()
                flow = None
            await asyncio.sleep(THINK_SECONDS)
        if flow is not None:
            await flow.async_close()

    async def _async_open(self) -> "_OpenFlow | None":
        """Return a new flow, or None after a pause if there is none."""
        stack = contextlib.AsyncExitStack()
        try:
            async with asyncio.timeout(OPEN_SECONDS):
                caller = await stack.enter_async_context(
                    async_connect(self._address.host, self._address.port)
                )
        except (ConnectionError, TimeoutError):
            self.figures.openings_failed += 1
            await asyncio.sleep(RETRY_SECONDS)
            return None
        self.figures.flows += 1
        return _OpenFlow(caller, stack)

    async def _async_move(self, old: "_OpenFlow") -> "_OpenFlow | None":
        """Open the next flow before closing the old one, as GOAWAY asks."""
        new = await self._async_open()
        if new is None:
            self.figures.broken += old.caller.is_terminated
            return None if old.caller.is_terminated else old
        self.figures.moved += 1
        await old.async_close()
        return new

    async def _async_ask(self, caller: Caller) -> bool:
        """Send a request; False when the flow has broken."""
        figures = self.figures
        began = asyncio.get_running_loop().time()
        figures.asked += 1
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                answer = await caller.async_request("GET", self._path)
        except (FlowLostError, ConnectionError, TimeoutError):
            return False
        if answer.status in _NOT_IN_USE:
            figures.refused += 1
        else:
            figures.answered += 1
            elapsed = asyncio.get_running_loop().time() - began
            figures.within += elapsed <= TARGET_SECONDS
        return True


@attrs.define
class _OpenFlow:
    """A flow and what closes it."""

    caller: Caller
    stack: contextlib.AsyncExitStack
    requests: int = 0

    async def async_close(self) -> None:
        """Close the flow from the caller's side."""
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(OPEN_SECONDS):
                await self.stack.aclose()

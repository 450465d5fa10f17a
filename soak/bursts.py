"""Bursts of callers of one class, beside the regular callers."""

import asyncio
from typing import Final

from .checks import InvariantChecker
from .const import MOVING_PORT, PORTS
from .endpoints import RequestResult
from .fleet import SoakFleet
from .schedule import Fault

# With a request of 50 ms each, this is work for five servers of one slot.
_FLOWS_PER_S: Final = 100


class BurstCallers:
    """Callers that each open a flow and send one request on it."""

    def __init__(self, fleet: SoakFleet, checker: InvariantChecker) -> None:
        """Initialize with what checks the outcome of each caller."""
        self._fleet = fleet
        self._checker = checker

    async def async_press(self, fault: Fault) -> None:
        """Open many flows to the route that a fault selects.

        Return when the last request has ended.
        """
        ports = (MOVING_PORT, *PORTS.values())
        port = ports[int(fault.pick * len(ports))]
        tasks = []
        for _ in range(int(fault.for_s * _FLOWS_PER_S)):
            tasks.append(asyncio.create_task(self._async_request_once(port)))
            await asyncio.sleep(1 / _FLOWS_PER_S)
        await asyncio.gather(*tasks)

    async def async_check_served(self) -> None:
        """Check that a new flow and its request are served on each route."""
        for port in (MOVING_PORT, *PORTS.values()):
            result = await self._async_request_once(port, must_answer=True)
            self._checker.check_served(port, result)

    async def _async_request_once(
        self, port: int, must_answer: bool = False
    ) -> RequestResult | None:
        """Return the result of one request on a flow of its own, None if unopened."""
        caller = self._fleet.create_caller(port)
        request = f"burst/{caller.packed_address.hex()}/1".encode()
        if not await caller.async_open():
            if caller.was_refused:
                self._checker.check_refused_flow(request)
                caller.send_late(request)
            self._checker.check_unopened_flow(must_answer)
            return None
        self._checker.opened_flows += 1
        result = await caller.async_send_until_answered(request)
        self._checker.check_request(caller, result, must_answer)
        return result

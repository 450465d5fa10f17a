"""Checks processes in calm: readiness, metrics, and how they stop."""

import asyncio
import signal
from typing import Final

import aiohttp

from .const import METRICS_PORT
from .fleet import SoakFleet
from .processes import SoakProcess

_ANSWER_BOUND_S: Final = 5.0
_PROBE_INTERVAL_S: Final = 0.5


class ProcessChecker:
    """Finds processes that run but don't do their work."""

    def __init__(self, fleet: SoakFleet) -> None:
        """Initialize with the fleet to check."""
        self._fleet = fleet

    async def async_check_services(self) -> list[str]:
        """Return the processes whose readiness or metrics don't answer."""
        problems = await asyncio.gather(
            *(self._async_check_one(each) for each in self._fleet.processes)
        )
        return [each for group in problems for each in group]

    async def async_probe_regularly(self) -> None:
        """Probe readiness and metrics as the platform does, whatever they answer."""
        while True:
            await asyncio.sleep(_PROBE_INTERVAL_S)
            await self.async_check_services()

    async def async_check_stops(self) -> list[str]:
        """Stop all processes, and return those that didn't log it.

        The fleet records ends that are wrong.
        """
        processes = self._fleet.processes
        await asyncio.gather(*(each.async_stop(signal.SIGTERM) for each in processes))
        return [
            f"{self._fleet.now:.2f} {each.name} didn't log its stop"
            for each in processes
            if each.has_log and not self._has_logged_stop(each)
        ]

    async def _async_check_one(self, process: SoakProcess) -> list[str]:
        """Return what doesn't answer at one process."""
        services = [(self._fleet.ports.ready, "readiness")]
        if process.name not in self._fleet.without_metrics:
            services.append((METRICS_PORT, "metrics"))
        problems = []
        for port, name in services:
            status = await _async_get_status(f"http://{process.host}:{port}/{name}")
            if status != "200":
                now = self._fleet.now
                problems.append(f"{now:.2f} {process.name} {name}: {status}")
        return problems

    @staticmethod
    def _has_logged_stop(process: SoakProcess) -> bool:
        """Return whether the log of the last start has the event of its stop."""
        return b'"event":"stopped"' in process.log.read_bytes()[process.log_start :]


async def _async_get_status(url: str) -> str:
    """Return the HTTP status of an address, or why there is none."""
    timeout = aiohttp.ClientTimeout(total=_ANSWER_BOUND_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(url) as answer,
        ):
            return str(answer.status)
    except (aiohttp.ClientError, TimeoutError) as error:
        return repr(error)

"""Callers of a fleet of real processes that changes while flows are open."""

import asyncio
import random
import signal
import tempfile
from pathlib import Path
from typing import Final

import attrs

from harness.fleet import Fleet
from harness.specification import EISDICKE_ALPENSEEN
from measurements.callers import CallerFigures, RoamingCaller

CALLERS: Final = 24
SERVICE: Final = "readings"
FABRIC_UPDATE_DELAY_SECONDS: Final = 1.0
BALANCER_PAUSE_SECONDS: Final = 3.0
STABILIZATION_SECONDS: Final = 3.0
STOP_TIMEOUT_SECONDS: Final = 30.0
_FAULTS: Final = {"duplicate": 0.05, "delay": 0.05, "delay_seconds": 0.03}
_SPECIFICATION: Final = attrs.evolve(
    EISDICKE_ALPENSEEN,
    balancers=4,
    services=(attrs.evolve(EISDICKE_ALPENSEEN.services[0], endpoints=5),),
)


@attrs.define
class ProcessFigures(CallerFigures):
    """Figures of the callers, and the failed exits of companions."""

    failed_exits: int = 0


async def async_measure_processes(seed: int, rounds: int) -> ProcessFigures:
    """Change the fleet in several rounds while callers stay connected."""
    figures = ProcessFigures()
    rng = random.Random(seed)
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(_SPECIFICATION, Path(directory))
        try:
            await fleet.async_start()
            await fleet.async_set_faults(**_FAULTS)
            address = fleet.service_addresses[SERVICE]
            callers = [RoamingCaller(address, figures) for _ in range(CALLERS)]
            running = [asyncio.create_task(each.async_run()) for each in callers]
            await asyncio.sleep(STABILIZATION_SECONDS)
            for _ in range(rounds):
                await _async_change_fleet(fleet, rng, figures)
            for caller in callers:
                caller.stop()
            await asyncio.gather(*running)
        finally:
            await fleet.async_stop()
    return figures


async def _async_change_fleet(
    fleet: Fleet, rng: random.Random, figures: ProcessFigures
) -> None:
    """Kill, suspend and restart balancers while a server leaves and returns."""
    killed, suspended = rng.sample([balancer.name for balancer in fleet.balancers], 2)
    await fleet.processes[killed].async_kill()
    await asyncio.sleep(FABRIC_UPDATE_DELAY_SECONDS)
    await fleet.async_set_members(
        [balancer.name for balancer in fleet.balancers if balancer.name != killed]
    )
    leaving = rng.choice([companion.name for companion in fleet.companions])
    fleet.processes[suspended].send_signal(signal.SIGSTOP)
    _set_out(fleet, leaving, is_out=True)
    await fleet.async_publish()
    await asyncio.sleep(BALANCER_PAUSE_SECONDS)
    fleet.processes[suspended].send_signal(signal.SIGCONT)
    await asyncio.sleep(STABILIZATION_SECONDS)
    code = await fleet.processes[leaving].async_stop(STOP_TIMEOUT_SECONDS)
    figures.failed_exits += code != 0
    await fleet.processes[leaving].async_start()
    _set_out(fleet, leaving, is_out=False)
    await fleet.async_publish()
    await fleet.processes[killed].async_start()
    await fleet.async_set_members([balancer.name for balancer in fleet.balancers])
    await asyncio.sleep(STABILIZATION_SECONDS)


def _set_out(fleet: Fleet, name: str, is_out: bool) -> None:
    """Set in the document whether a backend server is out of service."""
    for service in fleet.document["services"]:
        for server in service["backend_servers"]:
            if server["name"] == name:
                server["out"] = is_out

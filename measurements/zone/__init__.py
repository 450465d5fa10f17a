"""Service while an availability zone leaves and returns, by real processes.

Callers of a fleet on loopback ask on through three phases: all zones in service,
one zone out, and the zone back with cold backend servers. One balancer is
paused over the order and wakes late.
"""

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
from measurements.interface import Figures, MeasurementOptions

from .observation import async_overruns, async_packets, async_turn_cold

CALLERS: Final = 24
REQUESTS_PER_FLOW: Final = 6
SERVICE: Final = "readings"
WARM_SECONDS: Final = 4.0
QUICK_PHASE_SECONDS: Final = 8.0
PHASE_SECONDS: Final = 30.0
TARGET_SECONDS: Final = 3.0
PAUSED_AFTER_SECONDS: Final = 1.5
_SPECIFICATION: Final = attrs.evolve(
    EISDICKE_ALPENSEEN,
    balancers=4,
    services=(attrs.evolve(EISDICKE_ALPENSEEN.services[0], endpoints=6),),
)


async def async_measure(options: MeasurementOptions) -> Figures:
    """Take a zone out and bring it back, once."""
    phase = QUICK_PHASE_SECONDS if options.quick else PHASE_SECONDS
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(_SPECIFICATION, Path(directory))
        try:
            await fleet.async_start()
            return await _async_phases(fleet, random.Random(options.seed), phase)
        finally:
            await fleet.async_stop()


class _Callers:
    """The callers, and their figures phase by phase."""

    def __init__(self, fleet: Fleet) -> None:
        """Start to call."""
        address = fleet.service_addresses[SERVICE]
        self._callers = [
            RoamingCaller(address, CallerFigures(), REQUESTS_PER_FLOW)
            for _ in range(CALLERS)
        ]
        self._running = [
            asyncio.create_task(caller.async_run()) for caller in self._callers
        ]

    def new_phase(self) -> CallerFigures:
        """Count for a new phase from now on."""
        figures = CallerFigures()
        for caller in self._callers:
            caller.figures = figures
        return figures

    async def async_stop(self) -> None:
        """Stop to call."""
        for caller in self._callers:
            caller.stop()
        await asyncio.gather(*self._running)


async def _async_phases(fleet: Fleet, rng: random.Random, phase: float) -> Figures:
    """Return the figures of the three phases."""
    zone = rng.choice(fleet.specification.zones)
    callers = _Callers(fleet)
    await asyncio.sleep(WARM_SECONDS)
    before = callers.new_phase()
    packets_before = await async_packets(fleet, zone)
    await asyncio.sleep(phase)
    packets_at_order = await async_packets(fleet, zone)
    out = callers.new_phase()
    after_target = await _async_zone_out(fleet, zone, rng)
    await asyncio.sleep(phase - TARGET_SECONDS)
    packets_at_return = await async_packets(fleet, zone)
    overruns = await _async_zone_back(fleet, zone)
    back = callers.new_phase()
    await asyncio.sleep(phase)
    overruns = await async_overruns(fleet, zone) - overruns
    packets_back = await async_packets(fleet, zone) - packets_at_return
    await callers.async_stop()
    per_second = (packets_at_order - packets_before) / phase
    changing = [out, back]
    return {
        "within_target": _share(changing),
        "baseline": _share([before]),
        "baseline_within_target": _share([before]),
        "within_target_zone_out": _share([out]),
        "within_target_zone_back": _share([back]),
        "packets_after_3s": packets_at_return - after_target,
        "baseline_packets_after_3s": round(per_second * (phase - TARGET_SECONDS)),
        "packets_after_return": packets_back,
        "cold_overruns": overruns,
        "answered": sum(each.answered for each in [before, *changing]),
        "refused": sum(each.refused for each in [before, *changing]),
        "flows_given_up": out.broken,
        "broken_before": before.broken,
        "broken_after_return": back.broken,
        "openings_failed": sum(each.openings_failed for each in changing),
    }


async def _async_zone_out(fleet: Fleet, zone: str, rng: random.Random) -> int:
    """Publish the order while a balancer is paused; return packets at the target.

    The fabric, which is not ours, leaves out the balancers of the zone and the
    paused one, until that wakes.
    """
    staying = [place.name for place in fleet.balancers if place.zone != zone]
    paused = fleet.processes[rng.choice(staying)]
    paused.send_signal(signal.SIGSTOP)
    fleet.set_zone_out(zone, True)
    await fleet.async_publish()
    others = [name for name in staying if name != paused.name]
    await fleet.async_set_members(others)
    await asyncio.sleep(PAUSED_AFTER_SECONDS)
    paused.send_signal(signal.SIGCONT)
    await fleet.async_set_members(staying)
    await asyncio.sleep(TARGET_SECONDS - PAUSED_AFTER_SECONDS)
    return await async_packets(fleet, zone)


async def _async_zone_back(fleet: Fleet, zone: str) -> int:
    """Bring the zone back with cold servers; return their overruns so far."""
    await async_turn_cold(fleet, zone)
    overruns = await async_overruns(fleet, zone)
    fleet.set_zone_out(zone, False)
    await fleet.async_publish()
    await fleet.async_set_members([place.name for place in fleet.balancers])
    return overruns


def _share(phases: list[CallerFigures]) -> float:
    """Return the share of requests that were answered within the target."""
    asked = sum(each.asked for each in phases)
    within = sum(each.within for each in phases)
    return round(within / asked, 4) if asked else 0.0

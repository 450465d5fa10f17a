"""Service while an availability zone is taken out and restored, with real processes.

Callers of a fleet on loopback send requests in three phases: all zones in service, one
zone out, and the zone restored with cold backend servers. One balancer is suspended
while the zone is taken out and resumes later.
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

from .observation import async_count_overruns, async_count_packets, async_reset_to_cold

CALLERS: Final = 24
REQUESTS_PER_FLOW: Final = 6
SERVICE: Final = "readings"
WARM_UP_SECONDS: Final = 4.0
QUICK_PHASE_SECONDS: Final = 8.0
PHASE_SECONDS: Final = 30.0
ZONE_OUT_TARGET_SECONDS: Final = 3.0
BALANCER_PAUSE_SECONDS: Final = 1.5
_SPECIFICATION: Final = attrs.evolve(
    EISDICKE_ALPENSEEN,
    balancers=4,
    services=(attrs.evolve(EISDICKE_ALPENSEEN.services[0], endpoints=6),),
)


async def async_measure(options: MeasurementOptions) -> Figures:
    """Take a zone out and restore it, once."""
    phase = QUICK_PHASE_SECONDS if options.quick else PHASE_SECONDS
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(_SPECIFICATION, Path(directory))
        try:
            await fleet.async_start()
            return await _async_measure_phases(
                fleet, random.Random(options.seed), phase
            )
        finally:
            await fleet.async_stop()


class _CallerGroup:
    """The callers, and their figures for each phase."""

    def __init__(self, fleet: Fleet) -> None:
        """Start the callers."""
        address = fleet.service_addresses[SERVICE]
        self._callers = [
            RoamingCaller(address, CallerFigures(), REQUESTS_PER_FLOW)
            for _ in range(CALLERS)
        ]
        self._running = [
            asyncio.create_task(caller.async_run()) for caller in self._callers
        ]

    def start_phase(self) -> CallerFigures:
        """Start a new phase; return its figures."""
        figures = CallerFigures()
        for caller in self._callers:
            caller.figures = figures
        return figures

    async def async_stop(self) -> None:
        """Stop the callers."""
        for caller in self._callers:
            caller.stop()
        await asyncio.gather(*self._running)


async def _async_measure_phases(
    fleet: Fleet, rng: random.Random, phase: float
) -> Figures:
    """Return the figures of the three phases."""
    zone = rng.choice(fleet.specification.zones)
    callers = _CallerGroup(fleet)
    await asyncio.sleep(WARM_UP_SECONDS)
    before = callers.start_phase()
    packets_before = await async_count_packets(fleet, zone)
    await asyncio.sleep(phase)
    packets_at_order = await async_count_packets(fleet, zone)
    out = callers.start_phase()
    after_target = await _async_take_zone_out(fleet, zone, rng)
    await asyncio.sleep(phase - ZONE_OUT_TARGET_SECONDS)
    packets_at_return = await async_count_packets(fleet, zone)
    overruns = await _async_restore_zone(fleet, zone)
    back = callers.start_phase()
    await asyncio.sleep(phase)
    overruns = await async_count_overruns(fleet, zone) - overruns
    packets_back = await async_count_packets(fleet, zone) - packets_at_return
    await callers.async_stop()
    per_second = (packets_at_order - packets_before) / phase
    changing = [out, back]
    return {
        "within_target": _share_within_target(changing),
        "baseline": _share_within_target([before]),
        "baseline_within_target": _share_within_target([before]),
        "within_target_zone_out": _share_within_target([out]),
        "within_target_zone_back": _share_within_target([back]),
        "packets_after_3s": packets_at_return - after_target,
        "baseline_packets_after_3s": round(
            per_second * (phase - ZONE_OUT_TARGET_SECONDS)
        ),
        "packets_after_return": packets_back,
        "cold_overruns": overruns,
        "answered": sum(each.answered for each in [before, *changing]),
        "refused": sum(each.refused for each in [before, *changing]),
        "flows_given_up": out.broken_flows,
        "broken_before": before.broken_flows,
        "broken_after_return": back.broken_flows,
        "openings_failed": sum(each.openings_failed for each in changing),
    }


async def _async_take_zone_out(fleet: Fleet, zone: str, rng: random.Random) -> int:
    """Take a zone out while a balancer is suspended.

    Return the packets in the zone at the target time. The network fabric stops using
    the balancers of the zone, and the suspended one until it resumes.
    """
    remaining = [balancer.name for balancer in fleet.balancers if balancer.zone != zone]
    suspended = fleet.processes[rng.choice(remaining)]
    suspended.send_signal(signal.SIGSTOP)
    fleet.set_zone_out(zone, True)
    await fleet.async_publish()
    others = [name for name in remaining if name != suspended.name]
    await fleet.async_set_members(others)
    await asyncio.sleep(BALANCER_PAUSE_SECONDS)
    suspended.send_signal(signal.SIGCONT)
    await fleet.async_set_members(remaining)
    await asyncio.sleep(ZONE_OUT_TARGET_SECONDS - BALANCER_PAUSE_SECONDS)
    return await async_count_packets(fleet, zone)


async def _async_restore_zone(fleet: Fleet, zone: str) -> int:
    """Restore the zone with cold servers; return their overruns so far."""
    await async_reset_to_cold(fleet, zone)
    overruns = await async_count_overruns(fleet, zone)
    fleet.set_zone_out(zone, False)
    await fleet.async_publish()
    await fleet.async_set_members([balancer.name for balancer in fleet.balancers])
    return overruns


def _share_within_target(phases: list[CallerFigures]) -> float:
    """Return the share of requests that were answered within the target."""
    sent = sum(each.sent for each in phases)
    within_target = sum(each.within_target for each in phases)
    return round(within_target / sent, 4) if sent else 0.0

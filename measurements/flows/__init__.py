"""Flows that break while balancers, backend servers and versions change.

One part lets thousands of flows go through the real routing slices in memory,
beside hashing alone on the same rosters. The other part does it with a few
dozen callers and real processes on loopback, where callers move by GOAWAY.
"""

from measurements.interface import Figures, MeasurementOptions

from .processes import async_measure_processes
from .slices import measure_slices


async def async_measure(options: MeasurementOptions) -> Figures:
    """Measure both parts, and add up their flows and broken flows."""
    slices = measure_slices(options.seed, 1_500 if options.quick else 10_000)
    processes = await async_measure_processes(options.seed, 1 if options.quick else 3)
    return {
        "broken_flows": slices.broken + processes.broken,
        "flows": slices.flows + processes.flows,
        "moved": processes.moved,
        "baseline_broken_flows": slices.baseline_broken,
        "flows_in_slices": slices.flows,
        "broken_in_slices": slices.broken,
        "changes_in_slices": slices.changes,
        "flows_of_processes": processes.flows,
        "broken_of_processes": processes.broken,
        "openings_failed": processes.openings_failed,
        "requests_answered": processes.answered,
        "requests_refused": processes.refused,
        "companion_exit_codes_not_0": processes.bad_exits,
    }

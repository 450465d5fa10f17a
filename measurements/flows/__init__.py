"""Flows that break while balancers, backend servers and versions change.

One part routes thousands of flows through the real routing code in memory; its
baseline is hashing alone with the same rosters. The other part runs a few dozen
callers and real processes on loopback, where callers move on GOAWAY.
"""

from measurements.interface import Figures, MeasurementOptions

from .processes import async_measure_processes
from .routing import measure_routing


async def async_measure(options: MeasurementOptions) -> Figures:
    """Measure both parts, and sum their flows and broken flows."""
    routing = measure_routing(options.seed, 1_500 if options.quick else 10_000)
    processes = await async_measure_processes(options.seed, 1 if options.quick else 3)
    return {
        "broken_flows": routing.broken_flows + processes.broken_flows,
        "flows": routing.flows + processes.flows,
        "moved": processes.moved_flows,
        "baseline_broken_flows": routing.baseline_broken_flows,
        "flows_in_slices": routing.flows,
        "broken_in_slices": routing.broken_flows,
        "changes_in_slices": routing.changes,
        "flows_of_processes": processes.flows,
        "broken_of_processes": processes.broken_flows,
        "openings_failed": processes.openings_failed,
        "requests_answered": processes.answered,
        "requests_refused": processes.refused,
        "companion_exit_codes_not_0": processes.failed_exits,
    }

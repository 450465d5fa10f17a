"""Imbalance of connections and busy slots, compared with three baselines.

The baselines are placement by hash, by outdated load and ideal placement. The real
ranking, flow admission, limit and scheduler run on simulated time. Flows open over a
ramp, then close and open at random; one backend server leaves and returns cold, and
two become cold without notice.
"""

import random
import statistics
from datetime import timedelta
from typing import Final

import attrs

from harness.builders import request_class
from harness.placement import (
    HashPlacement,
    IdealPlacement,
    LaggingPlacement,
    PassOnPlacement,
    Place,
    Placement,
)
from harness.simulation import SimulatedServer, Simulation
from measurements.interface import Figures, MeasurementOptions
from pomelotrail_companion.admission import AdaptiveLimit, FixedLimit
from pomelotrail_core.timeline import Recorder
from stand_ins.backend_server.capacity import Capacity

SLOTS_PER_SERVER: Final = 5
CONNECTIONS_PER_SERVER: Final = 2_000
REQUEST_DURATION: Final = timedelta(milliseconds=100)
REQUEST_DURATION_SPREAD: Final = 0.5
HEAVY_FLOW_SHARE: Final = 0.1
HEAVY_REQUEST_SHARE: Final = 0.5
SAMPLE_INTERVAL: Final = timedelta(seconds=10)
SECOND: Final = timedelta(seconds=1)

_POLICIES: Final[dict[str, type[Placement]]] = {
    "pass_on": PassOnPlacement,
    "ideal": IdealPlacement,
    "hash": HashPlacement,
    "lagging": LaggingPlacement,
}
_POST_ENTRY: Final = request_class(
    name="post-entry", within=timedelta(milliseconds=500)
)
_BULK_UPLOAD: Final = request_class(name="bulk-upload", within=timedelta(seconds=5))


@attrs.frozen
class Scenario:
    """Sizes and durations of one run."""

    endpoints: int
    load: float
    ramp: timedelta
    end: timedelta
    flow_duration: timedelta
    has_adaptive_limit: bool = True
    connections: int = CONNECTIONS_PER_SERVER


@attrs.frozen
class RunFigures:
    """Figures of one run; the first two are means over samples."""

    connections: float
    busy: float
    cold_overruns: int
    unknowable_overruns: int
    in_time: float


@attrs.define(eq=False)
class OpenFlow:
    """An open flow and its index in its group, light or heavy."""

    place: Place
    group: list["OpenFlow"]
    index: int


class SimulationRun:
    """Run of one policy in one scenario."""

    def __init__(self, policy: type[Placement], scenario: Scenario, seed: int) -> None:
        """Initialize servers, callers and the policy."""
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._simulation = Simulation()
        self._places = [self._create_place(n) for n in range(scenario.endpoints)]
        self._policy = policy(self._places, self._simulation, random.Random(seed))
        self._light_flows: list[OpenFlow] = []
        self._heavy_flows: list[OpenFlow] = []
        self._connection_ratios: list[float] = []
        self._busy_ratios: list[float] = []
        self._sent_requests = 0

    def measure(self) -> RunFigures:
        """Run the scenario and return its figures."""
        scenario = self._scenario
        call_later = self._simulation.call_later
        total = int(scenario.load * scenario.connections * scenario.endpoints)
        for number in range(total):
            call_later(scenario.ramp * (number / total), self._open_flow)
        call_later(scenario.ramp, self._send_request)
        middle = scenario.ramp + (scenario.end - scenario.ramp) / 3
        call_later(middle, lambda: self._remove_server(self._places[0]))
        call_later(middle + SECOND * 5, lambda: self._restore_server(self._places[0]))
        for number, delay in ((1, 12), (2, 16), (1, 20)):
            place = self._places[number]
            call_later(middle + SECOND * delay, place.server.reset_to_cold)
        call_later(scenario.ramp + SAMPLE_INTERVAL, self._record_sample)
        self._simulation.run_until(scenario.end)
        servers = [place.server for place in self._places]
        return RunFigures(
            connections=statistics.fmean(self._connection_ratios),
            busy=statistics.fmean(self._busy_ratios),
            cold_overruns=sum(each.overruns for each in servers),
            unknowable_overruns=sum(each.unknowable_overruns for each in servers),
            in_time=sum(each.in_time for each in servers) / self._sent_requests,
        )

    def _create_place(self, number: int) -> Place:
        """Return a warm server without load."""
        capacity = Capacity(SLOTS_PER_SERVER)
        capacity.completed = capacity.warm_up
        server = SimulatedServer(
            self._simulation, self._create_limit(), capacity, self._rng
        )
        return Place(number, server, self._scenario.connections)

    def _create_limit(self) -> AdaptiveLimit | FixedLimit:
        """Return the limit of a companion that has just started."""
        if not self._scenario.has_adaptive_limit:
            return FixedLimit(SLOTS_PER_SERVER)
        recorder = Recorder("companion", "zone", self._simulation, size=1)
        return AdaptiveLimit(SLOTS_PER_SERVER, self._simulation, recorder)

    def _open_flow(self) -> None:
        """Open a flow; after a random time it is closed and another one opened."""
        place = self._policy.place(self._rng.randbytes(8))
        place.flows += 1
        group = (
            self._heavy_flows
            if self._rng.random() < HEAVY_FLOW_SHARE
            else self._light_flows
        )
        flow = OpenFlow(place, group, len(group))
        group.append(flow)
        duration = self._scenario.flow_duration * self._rng.expovariate(1.0)
        self._simulation.call_later(duration, lambda: self._close_flow(flow))

    def _close_flow(self, flow: OpenFlow) -> None:
        """Close a flow, unless it was closed before, and open another."""
        if flow.index < 0:
            return
        last = flow.group.pop()
        if last is not flow:
            flow.group[flow.index] = last
            last.index = flow.index
        flow.index = -1
        flow.place.flows -= 1
        self._open_flow()

    def _send_request(self) -> None:
        """Send a request on a random flow; heavy flows send half of all requests."""
        scenario = self._scenario
        rate = (
            scenario.load
            * SLOTS_PER_SERVER
            * scenario.endpoints
            / REQUEST_DURATION.total_seconds()
        )
        delay = timedelta(seconds=self._rng.expovariate(rate))
        self._simulation.call_later(delay, self._send_request)
        is_heavy = self._rng.random() < HEAVY_REQUEST_SHARE
        place = self._rng.choice(
            self._heavy_flows if is_heavy else self._light_flows
        ).place
        work_class = _BULK_UPLOAD if self._rng.random() < 0.1 else _POST_ENTRY
        duration = REQUEST_DURATION * (
            1 + REQUEST_DURATION_SPREAD * self._rng.uniform(-1, 1)
        )
        self._sent_requests += 1
        place.server.offer(work_class, duration)

    def _remove_server(self, place: Place) -> None:
        """Remove a server; its flows are opened again at other servers."""
        place.is_up = False
        lost_flows = [
            flow
            for flow in [*self._light_flows, *self._heavy_flows]
            if flow.place is place
        ]
        for flow in lost_flows:
            self._close_flow(flow)

    def _restore_server(self, place: Place) -> None:
        """Restore a server, cold and with a new companion."""
        old_server = place.server
        capacity = Capacity(SLOTS_PER_SERVER)
        place.server = SimulatedServer(
            self._simulation, self._create_limit(), capacity, self._rng
        )
        place.server.overruns = old_server.overruns
        place.server.unknowable_overruns = old_server.unknowable_overruns
        place.server.in_time = old_server.in_time
        place.is_up = True

    def _record_sample(self) -> None:
        """Record the ratios since the last sample."""
        self._simulation.call_later(SAMPLE_INTERVAL, self._record_sample)
        active_places = [place for place in self._places if place.is_up]
        self._connection_ratios.append(
            _max_over_mean([each.flows for each in active_places])
        )
        busy = []
        for place in active_places:
            place.server.count_busy()
            busy.append(place.server.busy_seconds)
            place.server.busy_seconds = 0.0
        self._busy_ratios.append(_max_over_mean(busy))


async def async_measure(options: MeasurementOptions) -> Figures:
    """Measure every policy at both loads, and report the worse of both."""
    figures: Figures = {}
    for load in (0.6, 0.9):
        scenario = _create_scenario(load, options)
        suffix = f"_{load * 100:.0f}"
        figures.update(_measure_policies(scenario, options.seed, suffix))
    for key in [key for key in figures if key.endswith("_60")]:
        name = key.removesuffix("_60")
        worse_of = min if name.startswith("in_time") else max
        figures[name] = worse_of(figures[key], figures[f"{name}_90"])
    return figures


def _create_scenario(load: float, options: MeasurementOptions) -> Scenario:
    """Return a day of the stock ledger of Kesar Tidewater, shortened."""
    seconds = 80 if options.quick else 300
    return Scenario(
        endpoints=7,
        load=load,
        ramp=timedelta(seconds=20),
        end=timedelta(seconds=seconds),
        flow_duration=timedelta(seconds=120),
    )


def _measure_policies(scenario: Scenario, seed: int, suffix: str) -> Figures:
    """Return the figures of all policies at one load."""
    runs = {
        name: SimulationRun(policy, scenario, seed).measure()
        for name, policy in _POLICIES.items()
    }
    fixed = SimulationRun(
        IdealPlacement, attrs.evolve(scenario, has_adaptive_limit=False), seed
    ).measure()
    figures: Figures = {}
    for name, run in runs.items():
        prefix = "" if name == "pass_on" else f"baseline_{name}_"
        figures[f"{prefix}connections{suffix}"] = round(run.connections, 4)
        figures[f"{prefix}busy_slots{suffix}"] = round(run.busy, 4)
        key = "max_over_mean" if name == "pass_on" else f"baseline_{name}"
        figures[f"{key}{suffix}"] = round(max(run.connections, run.busy), 4)
        figures[f"in_time_{name}{suffix}"] = round(run.in_time, 4)
    figures[f"cold_overruns{suffix}"] = runs["pass_on"].cold_overruns
    figures[f"unknowable_overruns{suffix}"] = runs["pass_on"].unknowable_overruns
    figures[f"baseline_cold_overruns{suffix}"] = fixed.cold_overruns
    return figures


def _max_over_mean(values: list[float] | list[int]) -> float:
    """Return the largest value divided by the mean."""
    mean = statistics.fmean(values)
    return max(values) / mean if mean else 1.0

"""Imbalance of connections and busy slots, beside hash, lagging and ideal.

The real ranking, flow admission, limit and scheduler run on simulated time.
Flows open over a ramp and then come and go; one backend server leaves and
comes back cold, and two turn cold without a warning.
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

SLOTS: Final = 5
CONNECTIONS: Final = 2_000
WORK: Final = timedelta(milliseconds=100)
WORK_SPREAD: Final = 0.5
HEAVY_FLOWS: Final = 0.1
HEAVY_REQUESTS: Final = 0.5
SAMPLE: Final = timedelta(seconds=10)
SECOND: Final = timedelta(seconds=1)

_POLICIES: Final[dict[str, type[Placement]]] = {
    "pass_on": PassOnPlacement,
    "ideal": IdealPlacement,
    "hash": HashPlacement,
    "lagging": LaggingPlacement,
}
_ENTRY: Final = request_class(name="post-entry", within=timedelta(milliseconds=500))
_UPLOAD: Final = request_class(name="bulk-upload", within=timedelta(seconds=5))


@attrs.frozen
class Scenario:
    """Sizes and times of one run."""

    endpoints: int
    load: float
    ramp: timedelta
    end: timedelta
    flow_life: timedelta
    adapts: bool = True
    connections: int = CONNECTIONS


@attrs.frozen
class RunFigures:
    """What one run gave; the first two are means over samples."""

    connections: float
    busy: float
    cold_overruns: int
    unknowable_overruns: int
    in_time: float


@attrs.define(eq=False)
class OpenFlow:
    """An open flow and its index among the flows of its kind."""

    place: Place
    kind: list["OpenFlow"]
    index: int


class Run:
    """One policy in one scenario."""

    def __init__(self, policy: type[Placement], scenario: Scenario, seed: int) -> None:
        """Prepare servers, callers and the policy."""
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._simulation = Simulation()
        self._places = [self._new_place(n) for n in range(scenario.endpoints)]
        self._policy = policy(self._places, self._simulation, random.Random(seed))
        self._flows: list[OpenFlow] = []
        self._heavy: list[OpenFlow] = []
        self._connection_ratios: list[float] = []
        self._busy_ratios: list[float] = []
        self._offered = 0

    def figures(self) -> RunFigures:
        """Run the scenario and return its figures."""
        scenario = self._scenario
        after = self._simulation.after
        total = int(scenario.load * scenario.connections * scenario.endpoints)
        for number in range(total):
            after(scenario.ramp * (number / total), self._open)
        after(scenario.ramp, self._request)
        middle = scenario.ramp + (scenario.end - scenario.ramp) / 3
        after(middle, lambda: self._leave(self._places[0]))
        after(middle + SECOND * 5, lambda: self._return(self._places[0]))
        for number, delay in ((1, 12), (2, 16), (1, 20)):
            place = self._places[number]
            after(middle + SECOND * delay, place.server.turn_cold)
        after(scenario.ramp + SAMPLE, self._sample)
        self._simulation.run_until(scenario.end)
        servers = [place.server for place in self._places]
        return RunFigures(
            connections=statistics.fmean(self._connection_ratios),
            busy=statistics.fmean(self._busy_ratios),
            cold_overruns=sum(each.overruns for each in servers),
            unknowable_overruns=sum(each.unknowable_overruns for each in servers),
            in_time=sum(each.in_time for each in servers) / self._offered,
        )

    def _new_place(self, number: int) -> Place:
        """Return a warm server, as it is before the morning."""
        capacity = Capacity(SLOTS)
        capacity.completed = capacity.warm_up
        server = SimulatedServer(self._simulation, self._limit(), capacity, self._rng)
        return Place(number, server, self._scenario.connections)

    def _limit(self) -> AdaptiveLimit | FixedLimit:
        """Return the limit of a companion that has just started."""
        if not self._scenario.adapts:
            return FixedLimit(SLOTS)
        recorder = Recorder("companion", "zone", self._simulation, size=1)
        return AdaptiveLimit(SLOTS, self._simulation, recorder)

    def _open(self) -> None:
        """Open a flow that lives for a while and is then opened again."""
        place = self._policy.place(self._rng.randbytes(8))
        place.flows += 1
        kind = self._heavy if self._rng.random() < HEAVY_FLOWS else self._flows
        flow = OpenFlow(place, kind, len(kind))
        kind.append(flow)
        life = self._scenario.flow_life * self._rng.expovariate(1.0)
        self._simulation.after(life, lambda: self._close(flow))

    def _close(self, flow: OpenFlow) -> None:
        """Close a flow, unless it was lost before, and open another."""
        if flow.index < 0:
            return
        last = flow.kind.pop()
        if last is not flow:
            flow.kind[flow.index] = last
            last.index = flow.index
        flow.index = -1
        flow.place.flows -= 1
        self._open()

    def _request(self) -> None:
        """Send the next request on a flow; a few flows send half of them."""
        scenario = self._scenario
        rate = scenario.load * SLOTS * scenario.endpoints / WORK.total_seconds()
        delay = timedelta(seconds=self._rng.expovariate(rate))
        self._simulation.after(delay, self._request)
        is_heavy = self._rng.random() < HEAVY_REQUESTS
        place = self._rng.choice(self._heavy if is_heavy else self._flows).place
        kind = _UPLOAD if self._rng.random() < 0.1 else _ENTRY
        work = WORK * (1 + WORK_SPREAD * self._rng.uniform(-1, 1))
        self._offered += 1
        place.server.offer(kind, work)

    def _leave(self, place: Place) -> None:
        """Take a server away; its flows are opened again elsewhere."""
        place.is_up = False
        lost = [flow for flow in [*self._flows, *self._heavy] if flow.place is place]
        for flow in lost:
            self._close(flow)

    def _return(self, place: Place) -> None:
        """Bring a server back cold, with a new companion."""
        old = place.server
        capacity = Capacity(SLOTS)
        place.server = SimulatedServer(
            self._simulation, self._limit(), capacity, self._rng
        )
        place.server.overruns = old.overruns
        place.server.unknowable_overruns = old.unknowable_overruns
        place.server.in_time = old.in_time
        place.is_up = True

    def _sample(self) -> None:
        """Take the ratios since the last sample."""
        self._simulation.after(SAMPLE, self._sample)
        up = [place for place in self._places if place.is_up]
        self._connection_ratios.append(_max_over_mean([each.flows for each in up]))
        busy = []
        for place in up:
            place.server.count_busy()
            busy.append(place.server.busy_seconds)
            place.server.busy_seconds = 0.0
        self._busy_ratios.append(_max_over_mean(busy))


async def async_measure(options: MeasurementOptions) -> Figures:
    """Measure every policy at both loads, and behaviour at 100 endpoints."""
    figures: Figures = {}
    for load in (0.6, 0.9):
        scenario = _scenario(load, options)
        suffix = f"_{load * 100:.0f}"
        figures.update(_measure(scenario, options.seed, suffix))
    for key in [key for key in figures if key.endswith("_60")]:
        name = key.removesuffix("_60")
        worse = min if name.startswith("in_time") else max
        figures[name] = worse(figures[key], figures[f"{name}_90"])
    return figures


def _scenario(load: float, options: MeasurementOptions) -> Scenario:
    """Return the stock ledger of Kesar Tidewater for a day in short."""
    seconds = 80 if options.quick else 300
    return Scenario(
        endpoints=7,
        load=load,
        ramp=timedelta(seconds=20),
        end=timedelta(seconds=seconds),
        flow_life=timedelta(seconds=120),
    )


def _measure(scenario: Scenario, seed: int, suffix: str) -> Figures:
    """Return the figures of one load, every policy beside each other."""
    runs = {
        name: Run(policy, scenario, seed).figures()
        for name, policy in _POLICIES.items()
    }
    fixed = Run(IdealPlacement, attrs.evolve(scenario, adapts=False), seed).figures()
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
    """Return the largest value over the mean."""
    mean = statistics.fmean(values)
    return max(values) / mean if mean else 1.0

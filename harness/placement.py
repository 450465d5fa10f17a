"""Policies that place new flows in the simulation, including baselines."""

import abc
import random
from collections.abc import Sequence
from datetime import timedelta
from typing import Final

import attrs

from harness.simulation import SimulatedServer, Simulation
from pomelotrail_companion.admission.const import EXCHANGE_INTERVAL, EXCHANGE_PEERS
from pomelotrail_companion.admission.flow_admission import ShareAdmission
from pomelotrail_companion.admission.peer_loads import PeerLoads
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import Candidate, RendezvousRanking
from pomelotrail_core.routing.const import MAX_CANDIDATES

REPORT_INTERVAL: Final = timedelta(seconds=5)


@attrs.define(eq=False)
class Place:
    """A backend server that can receive flows."""

    number: int
    server: SimulatedServer
    connections: int
    flows: int = 0
    is_up: bool = True
    candidate: Candidate = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Assign an address to the place."""
        number = self.number + 1
        host = f"192.0.{number // 250}.{number % 250 + 1}"
        self.candidate = Candidate(Endpoint(host, 7000))

    @property
    def utilization(self) -> float:
        """Return the flows as a share of the server's present capacity."""
        limit = self.server.limit
        return self.flows / (self.connections * limit.limit / limit.slots)


class Placement(abc.ABC):
    """Chooses the place of a new flow."""

    def __init__(
        self, places: Sequence[Place], simulation: Simulation, rng: random.Random
    ) -> None:
        """Choose among ``places``."""
        self._places = places
        self._simulation = simulation
        self._rng = rng
        self._by_candidate = {place.candidate.packed: place for place in places}
        self._ranking = RendezvousRanking()

    @abc.abstractmethod
    def place(self, key: bytes) -> Place:
        """Return the place of a flow with that key."""

    def _ranked(self, key: bytes) -> list[Place]:
        """Return the places that are up, in the order of a balancer's ranking."""
        up = [place.candidate for place in self._places if place.is_up]
        ranked = self._ranking.rank(key, up, MAX_CANDIDATES)
        return [self._by_candidate[candidate.packed] for candidate in ranked]


class HashPlacement(Placement):
    """Rendezvous hashing alone."""

    def place(self, key: bytes) -> Place:
        """Return the first candidate."""
        return self._ranked(key)[0]


class IdealPlacement(Placement):
    """Baseline that uses the exact, current load of every server."""

    def place(self, key: bytes) -> Place:
        """Return the place with the lowest utilization."""
        up = [place for place in self._places if place.is_up]
        return min(
            up, key=lambda place: (place.utilization, place.server.capacity.running)
        )


class LaggingPlacement(Placement):
    """Lowest load according to reports that are up to ``REPORT_INTERVAL`` old."""

    def __init__(
        self, places: Sequence[Place], simulation: Simulation, rng: random.Random
    ) -> None:
        """Read the loads now and every ``REPORT_INTERVAL``."""
        super().__init__(places, simulation, rng)
        self._reported: dict[int, float] = {}
        self._read()

    def place(self, key: bytes) -> Place:
        """Return a random one of the places with the lowest reported load."""
        up = [place for place in self._places if place.is_up]
        least = min(self._reported[place.number] for place in up)
        return self._rng.choice(
            [place for place in up if self._reported[place.number] == least]
        )

    def _read(self) -> None:
        """Read all loads and schedule the next reading."""
        self._reported = {place.number: place.utilization for place in self._places}
        self._simulation.call_later(REPORT_INTERVAL, self._read)


class PassOnPlacement(Placement):
    """The real ranking, flow admission and load exchange."""

    def __init__(
        self, places: Sequence[Place], simulation: Simulation, rng: random.Random
    ) -> None:
        """Create the peer loads of each place and schedule its exchanges."""
        super().__init__(places, simulation, rng)
        self._loads = {place.number: PeerLoads(simulation) for place in places}
        self.hops = 0
        for place in places:
            delay = EXCHANGE_INTERVAL * rng.random()
            simulation.call_later(delay, lambda place=place: self._exchange(place))

    def place(self, key: bytes) -> Place:
        """Return the first candidate that accepts the flow, or else the last one."""
        ranked = self._ranked(key)
        for index, place in enumerate(ranked):
            others = [each.candidate.packed for each in ranked[index + 1 :]]
            admission = self._admission(place)
            if admission.accepts_flow(place.flows, others):
                return place
            self.hops += 1
        return ranked[-1]

    def _admission(self, place: Place) -> ShareAdmission:
        """Return the flow admission of a place."""
        loads = self._loads[place.number]
        return ShareAdmission(place.connections, place.server.limit, loads)

    def _exchange(self, place: Place) -> None:
        """Exchange loads with random peers in both directions."""
        self._simulation.call_later(EXCHANGE_INTERVAL, lambda: self._exchange(place))
        if not place.is_up:
            return
        others = [each for each in self._places if each.is_up and each is not place]
        for peer in self._rng.sample(others, min(EXCHANGE_PEERS, len(others))):
            for sender, receiver in ((place, peer), (peer, place)):
                load = self._admission(sender).load(sender.flows)
                self._loads[receiver.number].record_load(sender.candidate.packed, load)

"""Real balancer and companion routing in memory, with fakes at its edges.

Packets go from a forwarder through the routers of companions until one takes,
refuses or drops them. Each balancer and companion has its own version of the
configuration in force, so uneven updates and pauses are plain to write down.
"""

import random
from collections.abc import Iterable, Sequence

import attrs
from result import Err, Ok

from harness.builders import LEDGER_NUMBER, configuration, token_keys
from harness.fake_clock import FakeClock
from pomelotrail_balancer.forwarding import Forwarder
from pomelotrail_companion.edge.packet_router import Onward
from pomelotrail_companion.edge.tests.builders import (
    BALANCER,
    CALLER,
    Bench,
    opening,
    short,
)
from pomelotrail_core.configuration import BackendServer, Configuration
from pomelotrail_core.endpoint import Endpoint, pack_address
from pomelotrail_core.membership import Roster
from pomelotrail_core.routing import (
    ForwardedPacket,
    RendezvousRanking,
    TokenIssuer,
    TokenReader,
)

ZONES = ("veraval", "porbandar", "jafrabad")


@attrs.define
class BenchFlow:
    """A flow as its caller sees it: what it sends, and who answered first."""

    opening_id: bytes
    owner: bytes
    connection_id: bytes


@attrs.frozen
class ForwardedTo:
    """A packet on its way to a companion."""

    companion: bytes
    packet: ForwardedPacket


class BenchBalancer:
    """A balancer with the configuration that it has seen."""

    def __init__(self) -> None:
        """Start with no configuration."""
        self.roster = Roster()
        self._forwarder = Forwarder(
            TokenReader(token_keys()), self.roster, RendezvousRanking()
        )

    def configure(self, in_force: Configuration) -> None:
        """Put a version in force."""
        self.roster.configure(in_force)
        self._forwarder.configure(in_force)

    def forward(self, service_number: int, payload: bytes) -> ForwardedTo | None:
        """Return who gets a packet, or None when it is dropped."""
        route = self._forwarder.known_route(service_number, payload)
        if route is None:
            match self._forwarder.route(service_number, payload):
                case Err(_):
                    return None
                case Ok(found):
                    route = found
        packet = ForwardedPacket(
            1, service_number, CALLER, BALANCER, 0, route.candidates, payload
        )
        return ForwardedTo(pack_address(route.destination), packet)


class _Wire(Onward):
    """Carries packets between the companions of a bench."""

    def __init__(self, bench: "RoutingBench") -> None:
        """Deliver through the bench."""
        self._bench = bench

    def send_onward(self, packet: ForwardedPacket, companion: bytes) -> None:
        """Deliver one packet at once."""
        self._bench.arrive(ForwardedTo(companion, packet))


class RoutingBench:
    """A service of companions behind balancers."""

    def __init__(self, servers: Sequence[BackendServer], balancers: int) -> None:
        """Start with one version in force everywhere."""
        self.clock = FakeClock()
        self.servers = {server.name: server for server in servers}
        self.zones_out: frozenset[str] = frozenset()
        self.version = 0
        self.rosters: dict[bytes, Roster] = {}
        self.companions: dict[bytes, Bench] = {}
        self.received: dict[bytes, int] = {}
        self.balancers = [BenchBalancer() for _ in range(balancers)]
        self.publish()

    def current(self) -> Configuration:
        """Return the configuration that was published last."""
        return configuration(
            self.version,
            zones_out=self.zones_out,
            servers=tuple(self.servers.values()),
        )

    def publish(self, unreached: Iterable[int] = ()) -> None:
        """Publish the next version; the balancers named miss it."""
        self.version += 1
        in_force = self.current()
        for server in self.servers.values():
            self._companion(server)
        for packed, companion in self.companions.items():
            companion.draining.configure(in_force)
            self.rosters[packed].configure(in_force)
            if companion.zone in self.zones_out:
                companion.edge.flows.clear()
        missing = set(unreached)
        for number, balancer in enumerate(self.balancers):
            if number not in missing:
                balancer.configure(in_force)

    def catch_up(self) -> None:
        """Let every balancer see the version that was published last."""
        for balancer in self.balancers:
            balancer.configure(self.current())

    def join_balancer(self) -> None:
        """Start a balancer with the version in force."""
        balancer = BenchBalancer()
        balancer.configure(self.current())
        self.balancers.append(balancer)

    def open_flow(self, opening_id: bytes, ways: Sequence[int]) -> BenchFlow | None:
        """Send copies of an opening through balancers; the first answer wins."""
        owner: bytes | None = None
        for way in ways:
            self.send(way, opening(opening_id))
            owner = owner or self._holder(opening_id)
        if owner is None:
            return None
        companion = self.companions[owner]
        connection_id = TokenIssuer(token_keys(), companion.token).issue()
        companion.edge.flows.add(connection_id)
        return BenchFlow(opening_id, owner, connection_id)

    def _holder(self, opening_id: bytes) -> bytes | None:
        """Return the companion that has opened a flow."""
        holders = (
            packed
            for packed, companion in self.companions.items()
            if opening_id in companion.edge.flows
        )
        return next(holders, None)

    def send(self, way: int, payload: bytes) -> None:
        """Send a packet through a balancer."""
        balancer = self.balancers[way % len(self.balancers)]
        forwarded = balancer.forward(LEDGER_NUMBER, payload)
        if forwarded is not None:
            self.arrive(forwarded)

    def survives(self, flow: BenchFlow, way: int) -> bool:
        """Tell whether a packet of a flow reaches its owner and nobody else."""
        before = {
            packed: len(each.edge.taken) for packed, each in self.companions.items()
        }
        self.send(way, short(flow.connection_id))
        reached = {
            packed
            for packed, each in self.companions.items()
            if len(each.edge.taken) > before[packed]
        }
        return reached == {flow.owner}

    def arrive(self, forwarded: ForwardedTo) -> None:
        """Let a companion handle a packet."""
        self.received[forwarded.companion] = (
            self.received.get(forwarded.companion, 0) + 1
        )
        companion = self.companions.get(forwarded.companion)
        if companion is not None:
            companion.router.take(forwarded.packet)

    def zone_of(self, flow: BenchFlow) -> str:
        """Return the availability zone in which a flow ends."""
        return self.companions[flow.owner].zone

    def _companion(self, server: BackendServer) -> None:
        """Start the companion beside a backend server that is new."""
        packed = server.packets.pack()
        if packed in self.companions:
            return
        roster = Roster()
        number = int(server.name.rpartition("-")[2])
        bench = Bench(number, self.clock, _Wire(self), roster.is_out)
        assert bench.token.companion == Endpoint.unpack(packed)
        self.companions[packed] = bench
        self.rosters[packed] = roster


def pick_ways(rng: random.Random, balancers: int, copies: int) -> list[int]:
    """Return the balancers over which the fabric sprays copies of a packet."""
    return [rng.randrange(balancers) for _ in range(copies)]

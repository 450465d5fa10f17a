"""Real balancer and companion routing in memory, with fake sockets and edges.

Packets go from a forwarder through the routers of companions until one accepts,
refuses or drops them. Each balancer and companion has its own version of the
configuration in force, so tests can delay updates for some of them.
"""

import random
from collections.abc import Iterable, Sequence

import attrs
from result import Err, Ok

from harness.builders import LEDGER_NUMBER, configuration, token_keys
from harness.fake_clock import FakeClock
from pomelotrail_balancer.forwarding import Forwarder
from pomelotrail_companion.edge.packet_router import CompanionSender
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
    """A caller's flow: its connection IDs and the companion that answered first."""

    opening_id: bytes
    owner: bytes
    connection_id: bytes


@attrs.frozen
class AddressedPacket:
    """A forwarded packet and the companion that it is sent to."""

    companion: bytes
    packet: ForwardedPacket


class BenchBalancer:
    """A balancer with its own configuration in force."""

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

    def forward(self, service_number: int, payload: bytes) -> AddressedPacket | None:
        """Return the packet with its companion, or None if it is dropped."""
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
        return AddressedPacket(pack_address(route.destination), packet)


class _DirectSender(CompanionSender):
    """Sends packets between the companions of a bench."""

    def __init__(self, bench: "RoutingBench") -> None:
        """Deliver through the bench."""
        self._bench = bench

    def send_to_companion(self, packet: ForwardedPacket, companion: bytes) -> None:
        """Deliver one packet synchronously."""
        self._bench.deliver(AddressedPacket(companion, packet))


class RoutingBench:
    """A service's companions behind balancers."""

    def __init__(self, servers: Sequence[BackendServer], balancers: int) -> None:
        """Start with the first version in force in every process."""
        self.clock = FakeClock()
        self.servers = {server.name: server for server in servers}
        self.zones_out: frozenset[str] = frozenset()
        self.version = 0
        self.rosters: dict[bytes, Roster] = {}
        self.companions: dict[bytes, Bench] = {}
        self.received: dict[bytes, int] = {}
        self.balancers = [BenchBalancer() for _ in range(balancers)]
        self.publish()

    def latest_configuration(self) -> Configuration:
        """Return the latest published configuration."""
        return configuration(
            self.version,
            zones_out=self.zones_out,
            servers=tuple(self.servers.values()),
        )

    def publish(self, skipped_balancers: Iterable[int] = ()) -> None:
        """Publish the next version to all but ``skipped_balancers``."""
        self.version += 1
        in_force = self.latest_configuration()
        for server in self.servers.values():
            self._companion(server)
        for packed, companion in self.companions.items():
            companion.draining.configure(in_force)
            self.rosters[packed].configure(in_force)
            if companion.zone in self.zones_out:
                companion.edge.flows.clear()
        skipped = set(skipped_balancers)
        for number, balancer in enumerate(self.balancers):
            if number not in skipped:
                balancer.configure(in_force)

    def update_balancers(self) -> None:
        """Put the latest published version in force in every balancer."""
        for balancer in self.balancers:
            balancer.configure(self.latest_configuration())

    def add_balancer(self) -> None:
        """Start a balancer with the version in force."""
        balancer = BenchBalancer()
        balancer.configure(self.latest_configuration())
        self.balancers.append(balancer)

    def open_flow(
        self, opening_id: bytes, balancer_indexes: Sequence[int]
    ) -> BenchFlow | None:
        """Send an opening packet through several balancers and return the flow.

        The first companion that opens the flow becomes its owner.
        """
        owner: bytes | None = None
        for balancer_index in balancer_indexes:
            self.send(balancer_index, opening(opening_id))
            owner = owner or self._find_owner(opening_id)
        if owner is None:
            return None
        companion = self.companions[owner]
        connection_id = TokenIssuer(token_keys(), companion.token).issue()
        companion.edge.flows.add(connection_id)
        return BenchFlow(opening_id, owner, connection_id)

    def _find_owner(self, opening_id: bytes) -> bytes | None:
        """Return the companion that has opened a flow."""
        owners = (
            packed
            for packed, companion in self.companions.items()
            if opening_id in companion.edge.flows
        )
        return next(owners, None)

    def send(self, balancer_index: int, payload: bytes) -> None:
        """Send a packet through a balancer."""
        balancer = self.balancers[balancer_index % len(self.balancers)]
        forwarded = balancer.forward(LEDGER_NUMBER, payload)
        if forwarded is not None:
            self.deliver(forwarded)

    def reaches_owner(self, flow: BenchFlow, balancer_index: int) -> bool:
        """Return whether a packet of a flow reaches only the flow's owner."""
        before = {
            packed: len(each.edge.handled_packets)
            for packed, each in self.companions.items()
        }
        self.send(balancer_index, short(flow.connection_id))
        reached = {
            packed
            for packed, each in self.companions.items()
            if len(each.edge.handled_packets) > before[packed]
        }
        return reached == {flow.owner}

    def deliver(self, addressed: AddressedPacket) -> None:
        """Pass a packet to the router of its companion."""
        self.received[addressed.companion] = (
            self.received.get(addressed.companion, 0) + 1
        )
        companion = self.companions.get(addressed.companion)
        if companion is not None:
            companion.router.route(addressed.packet)

    def zone_of(self, flow: BenchFlow) -> str:
        """Return the availability zone of a flow's owner."""
        return self.companions[flow.owner].zone

    def _companion(self, server: BackendServer) -> None:
        """Start the companion of a backend server, unless it exists."""
        packed = server.packets.pack()
        if packed in self.companions:
            return
        roster = Roster()
        number = int(server.name.rpartition("-")[2])
        bench = Bench(number, self.clock, _DirectSender(self), roster.is_out)
        assert bench.token.companion == Endpoint.unpack(packed)
        self.companions[packed] = bench
        self.rosters[packed] = roster


def pick_balancers(rng: random.Random, balancers: int, copies: int) -> list[int]:
    """Return random balancers for the copies of a packet, as the fabric chooses."""
    return [rng.randrange(balancers) for _ in range(copies)]

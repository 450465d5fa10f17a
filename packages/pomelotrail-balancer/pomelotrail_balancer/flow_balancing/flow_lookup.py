"""What is known of the owner of one flow during its lookup."""

from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import CompanionView
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.flows import SEQUENCE_RANGE, Packet

from .const import (
    MAX_DIRECT_PROBES,
    MAX_HELD_PACKETS,
    MAX_RELAYED_PROBES,
    MAX_SEQUENCE_DISTANCE,
)


class ProbedCompanion(msgspec.Struct, eq=False):
    """The servers at one address that a packet was sent to, all of one service.

    ``packets`` is how often it was sent without a reply.
    """

    label: int
    packets: int = 0
    identities: set[str] = msgspec.field(default_factory=set)


class FlowLookup(msgspec.Struct, eq=False):
    """Lookup of the owner of one flow.

    ``first_packet`` started the lookup, ``held_packets`` arrived after it. Servers
    are listed by identity: those in ``denied`` don't own the flow, those in
    ``awaited`` were queried and have not replied. ``denied_at`` has the addresses,
    with the label of the service, at which no server owns the flow: one that starts
    there later can't own it either, and a former entry has the same address.
    ``probed`` has the companions that a packet was sent to, by their address; those in
    ``round_probes`` got it in the current round, ``direct_probes`` of them without a
    relay, as did earlier those in ``probed_directly``. ``accepted_by`` has the
    companions whose server accepted the opening and hasn't denied the flow.
    ``full_rounds`` counts how often all companions that had not denied the flow were
    queried. ``is_complete`` is set once the directory had all entries that the store
    had when the lookup started. ``is_widened`` is set once servers of all services may
    be probed.
    """

    flow: bytes
    first_packet: Packet
    started: timedelta
    last_packet_at: timedelta
    due: timedelta
    held_packets: list[Packet] = msgspec.field(default_factory=list)
    denied: set[str] = msgspec.field(default_factory=set)
    denied_at: set[tuple[Address, int]] = msgspec.field(default_factory=set)
    awaited: set[str] = msgspec.field(default_factory=set)
    probed: dict[Address, ProbedCompanion] = msgspec.field(default_factory=dict)
    round_probes: set[Address] = msgspec.field(default_factory=set)
    accepted_by: dict[Address, CompanionView] = msgspec.field(default_factory=dict)
    probed_directly: set[Address] = msgspec.field(default_factory=set)
    direct_probes: int = 0
    full_rounds: int = 0
    is_checking: bool = False
    is_complete: bool = False
    is_widened: bool = False

    def without_denial(
        self, possible_owners: list[CompanionView]
    ) -> list[CompanionView]:
        """Return the companions whose server has not denied the flow."""
        denied, denied_at = self.denied, self.denied_at
        return [
            each
            for each in possible_owners
            if each.server.identity not in denied
            and (each.fleet_address, each.label) not in denied_at
        ]

    def start_round(self, remaining: list[CompanionView]) -> None:
        """Start to query all companions that have not denied the flow."""
        self.awaited = {each.server.identity for each in remaining}
        self.full_rounds += 1
        self.round_probes.clear()
        self.direct_probes = 0
        if {each.fleet_address for each in remaining} <= self.probed_directly:
            self.probed_directly.clear()

    def takes_probe(self, companion: CompanionView, identity: str) -> bool:
        """Return whether to send a packet to a server in this round, and record it.

        One packet is for all servers of a service at an address. Servers of different
        services there get theirs one after the other, since a denial doesn't tell the
        service.
        """
        address = companion.fleet_address
        probed = self.probed.setdefault(address, ProbedCompanion(companion.label))
        if probed.label != companion.label:
            return False
        probed.identities.add(identity)
        if address in self.round_probes:
            return False
        self.round_probes.add(address)
        probed.packets += 1
        return True

    def pop_denied(self, address: Address) -> set[str]:
        """Record the denial of a probed companion; return the servers that it is of."""
        probed = self.probed.pop(address, None)
        if probed is None:
            return set()
        self.denied_at.add((address, probed.label))
        self.accepted_by.pop(address, None)
        return probed.identities

    def takes_direct_probe(self, companion: CompanionView) -> bool:
        """Return whether to send a packet to a server without a relay, and count it.

        Relays get the first packets, and all beyond the limit of a round.
        """
        address = companion.fleet_address
        if (
            self.full_rounds <= 1
            or self.probed[address].packets <= MAX_RELAYED_PROBES
            or self.direct_probes >= MAX_DIRECT_PROBES
            or address in self.probed_directly
        ):
            return False
        self.probed_directly.add(address)
        self.direct_probes += 1
        return True

    def hold(self, packet: Packet) -> None:
        """Hold a packet until the owner is found."""
        if (
            packet.data == self.first_packet.data
            or len(self.held_packets) >= MAX_HELD_PACKETS
        ):
            return
        self.held_packets.append(packet)

    def is_same_flow(self, packet: Packet) -> bool:
        """Return whether a packet belongs to the same flow by its sequence number.

        Callers reuse ports; denials of an earlier flow between the same addresses
        don't apply to the current one.
        """
        distance = (
            packet.acknowledged - self.first_packet.acknowledged
        ) % SEQUENCE_RANGE
        return min(distance, SEQUENCE_RANGE - distance) <= MAX_SEQUENCE_DISTANCE

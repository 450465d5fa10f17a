"""What is known of the owner of one flow during its lookup."""

from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import CompanionView
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.flows import SEQUENCE_RANGE, Packet

from .const import MAX_DIRECT_PROBES, MAX_HELD_PACKETS, MAX_SEQUENCE_DISTANCE


class FlowLookup(msgspec.Struct, eq=False):
    """Lookup of the owner of one flow.

    ``first_packet`` started the lookup, ``held_packets`` arrived after it. Servers
    are listed by identity: those in ``denied`` don't own the flow, those in
    ``awaited`` were queried and have not replied. ``probed`` maps the address of a
    companion to the server that a packet was sent to; those in ``probed_directly``
    got it without a relay, ``direct_probes`` of them in the current round.
    ``accepted_by`` has the companions whose server accepted the opening and hasn't
    denied the flow.
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
    awaited: set[str] = msgspec.field(default_factory=set)
    probed: dict[Address, str] = msgspec.field(default_factory=dict)
    accepted_by: dict[Address, CompanionView] = msgspec.field(default_factory=dict)
    probed_directly: set[str] = msgspec.field(default_factory=set)
    direct_probes: int = 0
    full_rounds: int = 0
    is_checking: bool = False
    is_complete: bool = False
    is_widened: bool = False

    def without_denial(
        self, possible_owners: list[CompanionView]
    ) -> list[CompanionView]:
        """Return the companions whose server has not denied the flow."""
        denied = self.denied
        return [each for each in possible_owners if each.server.identity not in denied]

    def start_round(self, awaited: set[str]) -> None:
        """Start to query all companions that have not denied the flow."""
        self.awaited = awaited
        self.full_rounds += 1
        self.direct_probes = 0
        if awaited <= self.probed_directly:
            self.probed_directly.clear()

    def takes_direct_probe(self, identity: str) -> bool:
        """Return whether to send a packet to a server without a relay, and count it.

        Relays get the first packets, and all beyond the limit of a round.
        """
        if (
            self.full_rounds <= 1
            or self.direct_probes >= MAX_DIRECT_PROBES
            or identity in self.probed_directly
        ):
            return False
        self.probed_directly.add(identity)
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

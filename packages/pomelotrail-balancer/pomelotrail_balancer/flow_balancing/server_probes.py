"""Packets of unknown flows, sent to the backend servers that may own them."""

import asyncio
import zlib
from collections.abc import Callable

import msgspec

from pomelotrail_balancer.placement import CompanionView
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES, pack_address
from pomelotrail_core.flows import Mark, Packet, PacketCodec
from pomelotrail_core.offers import MAX_PROBES_PER_REQUEST, ProbeRequest, encode

from .const import (
    BATCH_INTERVAL,
    DATAGRAM_OVERHEAD_BYTES,
    PROBE_REPLY_COST,
    QUERY_BYTES,
)


class _PendingProbes(msgspec.Struct, eq=False):
    """A packet and the companions that it is sent to, by their service label."""

    packet: Packet
    companions: dict[int, list[CompanionView]] = msgspec.field(default_factory=dict)


class ServerProbes:
    """Sends a packet of a flow to all servers whose companions are unsure.

    Handles this load pattern: all processes were killed while callers kept their
    flows open. No companion knows the flows of its server, so each flow needs a
    packet at every server, which would fill a slow link for seconds. The balancer
    sends the packet once, to one of the companions, and that one sends it on and
    collects the denials::

        probes.add(packet, companion)

    Companions may not reach each other although the balancer reaches them all, so a
    packet that has been relayed without a reply is sent directly.
    """

    def __init__(
        self,
        address: Address,
        codec: PacketCodec,
        send_packet: SendDatagram,
        send_message: SendDatagram,
        spend: Callable[[float], None],
    ) -> None:
        """Receive replies at ``address`` and report costs, in queries, to ``spend``."""
        self._packed_address = pack_address(address)
        self._codec = codec
        self._send_packet = send_packet
        self._send_message = send_message
        self._spend = spend
        self._pending: dict[bytes, _PendingProbes] = {}

    def send_directly(self, packet: Packet, companion: CompanionView) -> None:
        """Send a packet to the server of a companion."""
        data = self._codec.with_label(packet, companion.label, Mark.LOOKUP)
        self._send_packet(data, companion.packets_address)
        self._record_cost(len(data), 0)

    def add(self, packet: Packet, companion: CompanionView) -> None:
        """Probe the server of a companion together with those that follow soon."""
        if not self._pending:
            loop = asyncio.get_running_loop()
            loop.call_later(BATCH_INTERVAL.total_seconds(), self._send)
        flow = packet.caller_flow
        pending = self._pending.setdefault(flow, _PendingProbes(packet))
        pending.companions.setdefault(companion.label, []).append(companion)

    def _send(self) -> None:
        """Send the pending probes."""
        pending, self._pending = self._pending, {}
        for probes in pending.values():
            for companions in probes.companions.values():
                for start in range(0, len(companions), MAX_PROBES_PER_REQUEST):
                    batch = companions[start : start + MAX_PROBES_PER_REQUEST]
                    self._send_batch(probes.packet, batch)

    def _send_batch(self, packet: Packet, companions: list[CompanionView]) -> None:
        """Send a packet to companions of one service."""
        if len(companions) == 1:
            self.send_directly(packet, companions[0])
            return
        # All of them have replied within seconds; the hash spreads the work.
        relay = companions[zlib.crc32(packet.caller_flow) % len(companions)]
        data = self._codec.with_label(packet, relay.label, Mark.LOOKUP)
        addresses = tuple(pack_address(each.fleet_address) for each in companions)
        message = encode(ProbeRequest(data, self._packed_address, addresses, True))
        self._send_message(message, relay.fleet_address)
        self._record_cost(len(message), PACKED_ENDPOINT_BYTES * len(companions))

    def _record_cost(self, datagram_bytes: int, reply_bytes: int) -> None:
        """Report the cost of a datagram and of its reply with so many further bytes."""
        carried_bytes = datagram_bytes + DATAGRAM_OVERHEAD_BYTES + reply_bytes
        self._spend(carried_bytes / QUERY_BYTES + PROBE_REPLY_COST)

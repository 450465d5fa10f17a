"""Datapath of a balancer for flows whose packets don't identify their owner."""

from datetime import timedelta

from pomelotrail_balancer.placement import (
    Companions,
    CompanionView,
    PlacementPolicy,
    ServerSpeeds,
)
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.directory import CompletenessCheck, Directory
from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES, unpack_address
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Mark, Packet, PacketCodec, flow_text
from pomelotrail_core.offers import (
    CollectedDenials,
    LookupMiss,
    LookupReply,
    OfferReply,
    Owner,
    Ping,
    Pong,
    decode,
    encode,
)

from .const import PING_INTERVAL
from .early_packets import EarlyPackets
from .flow_lookup import FlowLookup
from .flow_placer import FlowPlacer
from .flow_table import FlowTable
from .load_reports import LoadReports
from .lookups import Lookups
from .message_budget import MessageBudget
from .offer_exchange import OfferExchange
from .opening_queue import OpeningQueue
from .reply_time import ReplyTime
from .server_probes import ServerProbes

_PART = "carrying"


class FlowBalancer:
    """Forwards each packet to the companion that owns its flow.

    The flow table is only a cache; companions are authoritative. The owner of a
    flow that isn't cached is looked up, and a flow without an owner is reset.
    """

    def __init__(
        self,
        directory: Directory,
        check: CompletenessCheck,
        companions: Companions,
        policy: PlacementPolicy,
        codec: PacketCodec,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        fleet_address: Address,
        callers_port: int,
        lookups_per_s: float,
        send_packet: SendDatagram,
        send_message: SendDatagram,
    ) -> None:
        """Send packets and messages with the given functions.

        ``lookups_per_s`` limits the messages that lookups send in addition to
        those to likely owners.
        """
        self._directory = directory
        self._companions = companions
        self._codec = codec
        self._clock = clock
        self._log = log
        self._counters = counters
        self._callers_port = callers_port
        self._send_packet = send_packet
        self._send_message = send_message
        self._flows = FlowTable()
        self._early_packets = EarlyPackets()
        self._opening_queue = OpeningQueue(clock, log, counters, self._place)
        reply_time = ReplyTime()
        budget = MessageBudget(lookups_per_s, clock.monotonic())
        self._lookups = Lookups(
            directory,
            check,
            companions,
            clock,
            log,
            counters,
            budget,
            ServerProbes(fleet_address, codec, send_packet, send_message, budget.spend),
            reply_time,
            send_message,
            self._send_held_packets,
            self._reset_unowned,
        )
        speeds = ServerSpeeds(log, counters)
        self._load_reports = LoadReports(speeds, clock, log, counters)
        self._offers = OfferExchange(
            directory,
            self._load_reports,
            reply_time,
            clock,
            log,
            counters,
            send_message,
        )
        self._placer = FlowPlacer(
            directory,
            companions,
            policy,
            self._offers,
            speeds,
            clock,
            log,
            counters,
            self._reset,
        )

    def receive_packet(self, data: bytes, sender: Address) -> None:
        """Handle a packet of a caller."""
        packet = self._codec.decode(data)
        if packet is None:
            self._counters.add("packets_malformed")
            return
        now = self._clock.monotonic()
        if not self._directory.is_usable:
            self._early_packets.add(data, sender, now)
            self._counters.add("packets_without_configuration")
            return
        if packet.opens:
            self._opening_queue.add(packet)
            return
        flow = packet.caller_flow
        record = self._flows.get(flow, now)
        record = record or self._flows.add(flow, now)
        if record.owner and self._directory.is_removal_confirmed(record.owner.server):
            record.owner = None
            record.accepted_by.clear()
        if record.owner is not None:
            self._forward(packet, record.owner, Mark.OWNED)
        elif record.accepted_by:
            for companion in record.accepted_by:
                self._forward(packet, companion, Mark.LOOKUP)
        else:
            self._lookups.look_up(packet)

    def receive_message(self, data: bytes, sender: Address) -> None:
        """Handle a message of a companion."""
        match decode(data):
            case OfferReply() as reply:
                self._offers.receive(reply, sender)
            case Owner(flow):
                self._handle_owner(flow, sender)
            case LookupReply() as reply:
                self._record_peer_outage(reply.unsettled_ms)
                self._lookups.receive(reply, sender)
            case LookupMiss(flow, packet, unsettled_ms):
                self._record_peer_outage(unsettled_ms)
                self._handle_miss(flow, packet, sender)
            case CollectedDenials(flow, addresses, unsettled_ms) if all(
                len(each) == PACKED_ENDPOINT_BYTES for each in addresses
            ):
                self._record_peer_outage(unsettled_ms)
                for address in addresses:
                    self._handle_miss(flow, b"", unpack_address(address))
            case Pong() as pong:
                self._handle_pong(pong, sender)
            case _:
                self._counters.add("messages_malformed")

    async def async_serve_early_packets(self) -> None:
        """Process packets that arrived before the first configuration was loaded."""
        await self._directory.async_wait_until_usable()
        for data, sender in self._early_packets.pop_unexpired(self._clock.monotonic()):
            self.receive_packet(data, sender)

    async def async_ping_suspects(self) -> None:
        """Ping suspected companions periodically until cancelled."""
        while True:
            await self._clock.async_sleep(PING_INTERVAL)
            for companion in self._companions.suspects():
                self._send_message(encode(Ping(0)), companion.fleet_address)

    def _place(self, packet: Packet) -> None:
        """Place a flow or handle a retransmission of its opening packet."""
        now = self._clock.monotonic()
        flow = packet.caller_flow
        record = self._flows.get(flow, now) or self._flows.add(flow, now)
        self._lookups.cancel(flow)
        self._placer.place(packet, record)

    def _forward(self, packet: Packet, companion: CompanionView, mark: Mark) -> None:
        """Send a packet to a companion."""
        labelled = self._codec.with_label(packet, companion.label, mark)
        self._send_packet(labelled, companion.packets_address)
        self._counters.add("packets_forwarded")

    def _handle_owner(self, flow: bytes, sender: Address) -> None:
        """Record the owner of a flow, whether or not it was looked up."""
        companion = self._companions.find_by_address(sender)
        record = self._flows.get(flow, self._clock.monotonic())
        if record is None or companion is None:
            return
        if not self._lookups.resolve(flow, companion):
            record.assign(companion)

    def _send_held_packets(self, lookup: FlowLookup, companion: CompanionView) -> None:
        """Record the owner of a flow and send it the held packets."""
        now = self._clock.monotonic()
        flow = lookup.flow
        record = self._flows.get(flow, now) or self._flows.add(flow, now)
        record.assign(companion)
        for packet in (lookup.first_packet, *lookup.held_packets):
            self._forward(packet, companion, Mark.OWNED)

    def _handle_miss(self, flow: bytes, data: bytes, sender: Address) -> None:
        """Look up a flow whose presumed owner denied it."""
        now = self._clock.monotonic()
        self._lookups.record_returned_probe(flow, sender)
        companion = self._companions.find_by_address(sender)
        record = self._flows.get(flow, now)
        if record is None or companion is None:
            return
        if companion in record.accepted_by:
            record.accepted_by.remove(companion)
        if record.owner is not companion:
            return
        record.owner = None
        identity = companion.server.identity
        self._log.write(_PART, "owner_denied", flow=flow_text(flow), server=identity)
        packet = self._codec.decode(data)
        if packet is not None and not record.accepted_by:
            self._lookups.look_up(packet)

    def _reset_unowned(self, packet: Packet) -> None:
        """Reset a flow without an owner."""
        self._reset(packet, "nobody_holds_it")
        self._flows.remove(packet.caller_flow)

    def _record_peer_outage(self, unsettled_ms: int) -> None:
        """Record an outage of the store that a companion reported."""
        self._directory.record_peer_outage(timedelta(milliseconds=unsettled_ms))

    def _handle_pong(self, pong: Pong, sender: Address) -> None:
        """Record the load of a companion and stop suspecting it."""
        companion = self._companions.find_by_address(sender)
        if companion is None:
            return
        if companion.is_suspect:
            self._log.write(
                "companions", "answers_again", server=companion.server.identity
            )
        self._load_reports.record(companion, pong)

    def _reset(self, packet: Packet, reason: str) -> None:
        """Send the caller a reset because its flow has no backend server."""
        self._log.write(
            _PART,
            "reset",
            flow=flow_text(packet.caller_flow),
            reason=reason,
            **self._directory.log_fields,
        )
        self._counters.add(f"resets_{reason}")
        host, _ = unpack_address(packet.sender)
        reset = self._codec.build_reset(packet.caller_flow, packet.acknowledged)
        self._send_packet(reset, (host, self._callers_port))

"""The datapath of a balancer for flows whose packets don't name their owner."""

from datetime import timedelta

from pomelotrail_balancer.placement import Companions, CompanionView, PlacementPolicy
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.directory import CompletenessCheck, Directory
from pomelotrail_core.endpoint import unpack_address
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Mark, Packet, PacketCodec, flow_text
from pomelotrail_core.offers import (
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
from .flow_table import FlowTable
from .lookups import FlowLookup, Lookups
from .message_budget import MessageBudget
from .opening_queue import OpeningQueue
from .openings import Openings

_PART = "carrying"


class FlowBalancer:
    """Hands each packet to the companion that owns its flow.

    Companions hold the truth; this table is a cache of it. The owner of a flow
    that it doesn't hold is looked up, and a flow that nobody holds is reset.
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
        callers_port: int,
        lookups_per_s: float,
        send_packet: SendDatagram,
        send_message: SendDatagram,
    ) -> None:
        """Send packets and messages with the given functions.

        ``lookups_per_s`` is the number of messages that lookups may send beyond
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
        self._early = EarlyPackets()
        self._queue = OpeningQueue(clock, log, counters, self._open)
        self._lookups = Lookups(
            directory,
            check,
            companions,
            clock,
            log,
            counters,
            MessageBudget(lookups_per_s, clock.monotonic()),
            send_message,
            self._probe,
            self._send_held,
            self._end_dead,
        )
        self._openings = Openings(
            directory,
            companions,
            policy,
            clock,
            log,
            counters,
            send_message,
            self._reset,
        )

    def receive_packet(self, data: bytes, sender: Address) -> None:
        """Take a packet of a caller."""
        packet = self._codec.decode(data)
        if packet is None:
            self._counters.add("packets_malformed")
            return
        now = self._clock.monotonic()
        if not self._directory.is_usable:
            self._early.hold(data, sender, now)
            self._counters.add("packets_without_configuration")
            return
        if packet.opens:
            self._queue.add(packet)
            return
        flow = packet.caller_flow
        record = self._flows.get(flow, now)
        record = record or self._flows.add(flow, now)
        if record.owner and self._directory.is_removal_confirmed(record.owner.server):
            record.owner = None
            record.takers.clear()
        if record.owner is not None:
            self._forward(packet, record.owner, Mark.OWNED)
        elif record.takers:
            for taker in record.takers:
                self._forward(packet, taker, Mark.LOOKUP)
        else:
            self._lookups.seek(packet)

    def receive_message(self, data: bytes, sender: Address) -> None:
        """Take a message of a companion."""
        match decode(data):
            case OfferReply() as reply:
                self._openings.receive(reply, sender)
            case Owner(flow):
                self._note_owner(flow, sender)
            case LookupReply() as reply:
                self._note_unsettled(reply.unsettled_ms)
                self._lookups.receive(reply, sender)
            case LookupMiss(flow, packet, unsettled_ms):
                self._note_unsettled(unsettled_ms)
                self._note_miss(flow, packet, sender)
            case Pong() as pong:
                self._note_back(pong, sender)
            case _:
                self._counters.add("messages_malformed")

    async def async_serve_early_packets(self) -> None:
        """Serve what came before the first configuration, once that is there."""
        await self._directory.async_wait_until_usable()
        for data, sender in self._early.take(self._clock.monotonic()):
            self.receive_packet(data, sender)

    async def async_ping_suspects(self) -> None:
        """Ask suspected companions whether they are back, until cancelled."""
        while True:
            await self._clock.async_sleep(PING_INTERVAL)
            for companion in self._companions.suspects():
                self._send_message(encode(Ping(0)), companion.fleet)

    def _open(self, packet: Packet) -> None:
        """Place a flow, or a further copy of its opening packet."""
        now = self._clock.monotonic()
        flow = packet.caller_flow
        record = self._flows.get(flow, now) or self._flows.add(flow, now)
        self._lookups.cancel(flow)
        self._openings.open(packet, record)

    def _forward(self, packet: Packet, companion: CompanionView, mark: Mark) -> None:
        """Send a packet to a companion."""
        labelled = self._codec.with_label(packet, companion.label, mark)
        self._send_packet(labelled, companion.packets)
        self._counters.add("packets_forwarded")

    def _probe(self, packet: Packet, companion: CompanionView) -> None:
        """Let the backend server of a companion tell whether it holds a flow."""
        self._forward(packet, companion, Mark.LOOKUP)

    def _note_owner(self, flow: bytes, sender: Address) -> None:
        """Note that a companion holds a flow, whether or not it was looked up."""
        companion = self._companions.at(sender)
        record = self._flows.get(flow, self._clock.monotonic())
        if record is None or companion is None:
            return
        if not self._lookups.find(flow, companion):
            record.assign(companion)

    def _send_held(self, lookup: FlowLookup, companion: CompanionView) -> None:
        """Send what waited, and what follows, to the owner."""
        now = self._clock.monotonic()
        flow = lookup.flow
        record = self._flows.get(flow, now) or self._flows.add(flow, now)
        record.assign(companion)
        for packet in (lookup.sought, *lookup.held):
            self._forward(packet, companion, Mark.OWNED)

    def _note_miss(self, flow: bytes, data: bytes, sender: Address) -> None:
        """Look a flow up whose supposed owner doesn't hold it."""
        now = self._clock.monotonic()
        self._lookups.note_returned(flow, sender)
        companion = self._companions.at(sender)
        record = self._flows.get(flow, now)
        if record is None or companion is None:
            return
        if companion in record.takers:
            record.takers.remove(companion)
        if record.owner is not companion:
            return
        record.owner = None
        identity = companion.server.identity
        self._log.write(_PART, "owner_denied", flow=flow_text(flow), server=identity)
        packet = self._codec.decode(data)
        if packet is not None and not record.takers:
            self._lookups.seek(packet)

    def _end_dead(self, packet: Packet) -> None:
        """Reset a flow that nobody holds."""
        self._reset(packet, "nobody_holds_it")
        self._flows.remove(packet.caller_flow)

    def _note_unsettled(self, unsettled_ms: int) -> None:
        """Take what a companion heard of an outage of the store."""
        self._directory.record_peer_outage(timedelta(milliseconds=unsettled_ms))

    def _note_back(self, pong: Pong, sender: Address) -> None:
        """Trust a companion that answers again."""
        companion = self._companions.at(sender)
        if companion is None:
            return
        if companion.is_suspect:
            self._log.write(
                "companions", "answers_again", server=companion.server.identity
            )
        companion.report(pong.occupancy, pong.flows, self._clock.monotonic())

    def _reset(self, packet: Packet, reason: str) -> None:
        """Tell the caller that its flow has no backend server."""
        self._log.write(
            _PART,
            "reset",
            flow=flow_text(packet.caller_flow),
            reason=reason,
            version=self._directory.version,
            revision=self._directory.revision,
        )
        self._counters.add(f"resets_{reason}")
        host, _ = unpack_address(packet.sender)
        reset = self._codec.build_reset(packet.caller_flow, packet.acknowledged)
        self._send_packet(reset, (host, self._callers_port))

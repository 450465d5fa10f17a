"""The datapath of a balancer for flows whose packets don't name their owner."""

import asyncio
from datetime import timedelta

from pomelotrail_balancer.placement import Companions, CompanionView, PlacementPolicy
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, Send
from pomelotrail_core.directory import CompletenessCheck, Directory
from pomelotrail_core.endpoint import unpack_address
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Mark, Packet, PacketCodec, flow_text
from pomelotrail_core.offers import (
    Lookup,
    LookupMiss,
    OfferReply,
    Owner,
    Ping,
    Pong,
    Unsure,
    decode,
    encode,
)

from .const import (
    LOOKUP_INTERVAL,
    LOOKUP_STAGE,
    MAX_HELD_PACKETS,
    MILLISECOND,
    PING_INTERVAL,
)
from .early_packets import EarlyPackets
from .flow_table import FlowRecord, FlowTable
from .message_budget import MessageBudget
from .opening_queue import OpeningQueue
from .openings import Openings

_PART = "carrying"


class FlowBalancer:
    """Hands each packet to the companion that owns its flow.

    Companions hold the truth; this table is a cache of it. For a packet of an
    unknown flow, the companions are asked that it was probably offered to, then all
    others, and the owner answers. A flow is reset only when every one of them has
    said that its backend server doesn't hold it, and the store that there are no
    others. Companions of servers that have left are asked too, but most of them are
    gone, so the flow doesn't wait for their word.
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
        send_packet: Send,
        send_message: Send,
    ) -> None:
        """Send packets and messages with the given functions.

        ``lookups_per_s`` is the number of messages that lookups may send beyond
        those to likely owners.
        """
        self._directory = directory
        self._check = check
        self._companions = companions
        self._codec = codec
        self._clock = clock
        self._log = log
        self._counters = counters
        self._callers_port = callers_port
        self._send_packet = send_packet
        self._send_message = send_message
        self._flows = FlowTable()
        self._budget = MessageBudget(lookups_per_s, clock.monotonic())
        self._early = EarlyPackets()
        self._queue = OpeningQueue(clock, log, counters, self._open)
        self._ending: set[asyncio.Task] = set()
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
        if record.owner and self._directory.has_left(record.owner.server):
            record.owner = None
            record.takers.clear()
        if record.owner is not None:
            self._forward(packet, record.owner, Mark.OWNED)
        elif record.takers:
            for taker in record.takers:
                self._forward(packet, taker, Mark.LOOKUP)
        else:
            self._look_up(packet, record, now)

    def receive_message(self, data: bytes, sender: Address) -> None:
        """Take a message of a companion."""
        match decode(data):
            case OfferReply() as reply:
                self._openings.receive(reply, sender)
            case Owner(flow):
                self._learn_owner(flow, sender)
            case Unsure(flow):
                self._probe(flow, sender)
            case LookupMiss(flow, packet, unsettled_ms):
                self._directory.note_unsettled(timedelta(milliseconds=unsettled_ms))
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
        self._openings.open(packet, record)

    def _forward(self, packet: Packet, companion: CompanionView, mark: Mark) -> None:
        """Send a packet to a companion."""
        labelled = self._codec.labelled(packet, companion.label, mark)
        self._send_packet(labelled, companion.packets)
        self._counters.add("packets_forwarded")

    def _look_up(self, packet: Packet, record: FlowRecord, now: timedelta) -> None:
        """Ask who owns a flow, and hold its packets meanwhile."""
        if record.looked_up is not None and now - record.looked_up < LOOKUP_INTERVAL:
            if len(record.held) < MAX_HELD_PACKETS:
                record.held.append(packet)
            return
        route = self._directory.route(packet.receiver)
        if route is None:
            self._counters.add("packets_without_route")
            return
        record.held = []
        record.looked_up = now
        record.sought = packet
        self._counters.add("lookups")
        self._ask_preferred(record, {share.service for share in route.shares})
        self._log.write(
            _PART,
            "looked_up",
            flow=flow_text(record.flow),
            asked=len(record.asked),
            unasked=len(record.unasked),
            version=self._directory.version,
            revision=self._directory.revision,
        )
        loop = asyncio.get_running_loop()
        loop.call_later(LOOKUP_STAGE.total_seconds(), self._ask_rest, record, packet)

    def _ask_preferred(self, record: FlowRecord, services: set[str]) -> None:
        """Ask the companions that the flow was probably offered to first.

        The others are asked later, those of other services too: the flow may be
        older than the configuration that leads its route to these.
        """
        holders = self._companions.holders()
        record.asked = set()
        for service in services:
            own = [each for each in holders if each.server.service == service]
            for companion in self._companions.preferred(record.flow, own):
                self._ask(record, companion)
                record.asked.add(companion.fleet)
        rest = [each for each in holders if each.fleet not in record.asked]
        record.unasked = [*rest, *self._companions.left()]

    def _ask_rest(self, record: FlowRecord, packet: Packet) -> None:
        """Ask everybody else, unless the lookup has ended or begun anew.

        Companions of servers that have left are asked, but not waited for.
        """
        if record.sought is not packet or record.owner is not None:
            return
        now = self._clock.monotonic()
        if not self._budget.take(len(record.unasked), now):
            self._counters.add("lookups_postponed")
            record.sought = None
            return
        unasked, record.unasked = record.unasked, []
        for companion in unasked:
            self._ask(record, companion)
            if not self._directory.has_left(companion.server):
                record.asked.add(companion.fleet)
        self._end_if_denied(record)

    def _ask(self, record: FlowRecord, companion: CompanionView) -> None:
        """Ask one companion whether it owns a flow."""
        unsettled_ms = self._directory.unsettled_for // MILLISECOND
        server = companion.server
        message = Lookup(record.flow, server.service, unsettled_ms, server.started_ms)
        self._send_message(encode(message), companion.fleet)

    def _probe(self, flow: bytes, sender: Address) -> None:
        """Let the backend server of a companion that is unsure tell.

        A server of another service than those of the route gets nothing, so its
        companion's doubt stands, and the flow isn't reset.
        """
        companion = self._companions.at(sender)
        record = self._flows.get(flow, self._clock.monotonic())
        if record is None or companion is None or record.sought is None:
            return
        route = self._directory.route(record.sought.receiver)
        shares = route.shares if route is not None else ()
        if companion.server.service in {share.service for share in shares}:
            self._forward(record.sought, companion, Mark.LOOKUP)

    def _note_denial(self, record: FlowRecord, sender: Address) -> None:
        """Note that a companion denied a flow; the last one ends the lookup.

        Its address stands for it, since its server may have got another identity
        since the question, and one that had the address before is gone.
        """
        record.asked.discard(sender)
        if not record.asked and record.unasked and record.sought is not None:
            self._ask_rest(record, record.sought)
        else:
            self._end_if_denied(record)

    def _end_if_denied(self, record: FlowRecord) -> None:
        """End a lookup that everybody has denied."""
        sought = record.sought
        if sought is None or record.asked or record.unasked or record.owner is not None:
            return
        record.sought = None
        task = asyncio.create_task(self._async_end(record, sought))
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _async_end(self, record: FlowRecord, sought: Packet) -> None:
        """Reset a flow that nobody holds, if nobody was left out."""
        is_complete = await self._check.async_is_complete()
        if is_complete and record.owner is None and not record.takers:
            self._reset(sought, "nobody_holds_it")
            self._flows.remove(record.flow)

    def _learn_owner(self, flow: bytes, sender: Address) -> None:
        """Send what waits, and what follows, to the owner."""
        companion = self._companions.at(sender)
        record = self._flows.get(flow, self._clock.monotonic())
        if record is None or companion is None:
            return
        sought, record.sought = record.sought, None
        record.owner = companion
        record.takers = [companion]
        held, record.held = record.held, []
        if sought is not None:
            held.insert(0, sought)
        for packet in held:
            self._forward(packet, companion, Mark.OWNED)

    def _note_miss(self, flow: bytes, data: bytes, sender: Address) -> None:
        """Look a flow up again whose supposed owner doesn't hold it."""
        now = self._clock.monotonic()
        companion = self._companions.at(sender)
        record = self._flows.get(flow, now)
        if record is None or companion is None:
            return
        self._note_denial(record, sender)
        if companion in record.takers:
            record.takers.remove(companion)
        if record.owner is not companion:
            return
        record.owner = None
        identity = companion.server.identity
        self._log.write(_PART, "owner_denied", flow=flow_text(flow), server=identity)
        packet = self._codec.decode(data)
        if packet is not None:
            self._look_up(packet, record, now)

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
        reset = self._codec.reset(packet.caller_flow, packet.acknowledged)
        self._send_packet(reset, (host, self._callers_port))

"""Gives flows to the backend server and its packets to the callers."""

import asyncio
from datetime import datetime, timedelta

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES, unpack_address
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import SEQUENCE_RANGE, Mark, Packet, PacketCodec, flow_text
from pomelotrail_core.offers import (
    Lookup,
    Offer,
    OfferReply,
    Outcome,
    Owner,
    Ping,
    Pong,
    decode,
    encode,
    service_label,
)

from .addresses import DoorwayAddresses
from .cold_budget import ColdBudget
from .const import (
    MILLISECOND,
    SERVER_ANSWER_TIMEOUT,
    SWEEP_INTERVAL,
)
from .departure import async_is_gone
from .flow_book import BookedFlow, FlowBook, RouteTerms
from .ownership import Ownership
from .request_gate import RequestGate

_PART = "doorway"


class Doorway:
    """The datapath of a companion.

    It takes offers while the backend server has room, delivers packets of the
    flows that the server holds, and says so where a balancer asks. A process
    that started less than the longest flow ago doesn't know all flows; it lets
    the backend server answer for those.
    """

    def __init__(
        self,
        service: str,
        addresses: DoorwayAddresses,
        is_first_start: bool,
        process_started: datetime,
        codec: PacketCodec,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        send_packet: SendDatagram,
        send_message: SendDatagram,
        send_to_server: SendDatagram,
    ) -> None:
        """Stand before a backend server of the service.

        ``is_first_start`` tells that no earlier process of this companion can
        have let flows in; ``process_started`` is the time of day of this one's start.
        """
        self._service = service
        self._addresses = addresses
        self._label = service_label(service)
        self._codec = codec
        self._clock = clock
        self._log = log
        self._counters = counters
        self._send_packet = send_packet
        self._send_message = send_message
        self._send_to_server = send_to_server
        self._book = FlowBook()
        self._gate = RequestGate(self._book)
        self._budget = ColdBudget(clock.monotonic())
        self._ownership = Ownership(
            service,
            is_first_start,
            process_started,
            self._book,
            codec,
            clock,
            log,
            counters,
            send_message,
            self._give,
        )

    @property
    def occupancy(self) -> int:
        """Return the number of requests in progress."""
        return self._book.occupancy

    def receive_message(self, data: bytes, sender: Address) -> None:
        """Take a message of a balancer."""
        match decode(data):
            case Offer() as offer:
                self._consider(offer, sender)
            case Lookup() as question:
                self._ownership.answer(question, sender)
            case Ping(number):
                load = self._book.load(self._clock.monotonic())
                pong = Pong(number, load, len(self._book))
                self._send_message(encode(pong), sender)
            case _:
                self._counters.add("messages_malformed")

    def receive_packet(self, data: bytes, sender: Address) -> None:
        """Take a packet that a balancer forwarded."""
        packet = self._codec.decode(data)
        if packet is None:
            self._counters.add("packets_malformed")
            return
        balancer = (sender[0], self._addresses.fleet_port)
        if packet.label != self._label:
            self._counters.add("packets_of_other_services")
            self._ownership.deny(packet, packet.mark, balancer)
            return
        booked = self._book.get(packet.caller_flow)
        if booked is None:
            self._ownership.receive_unknown(packet, balancer)
        elif self._is_own(booked, packet):
            self._deliver(booked, packet, balancer)
        else:
            self._ownership.deny(packet, packet.mark, balancer)

    def receive_from_server(self, data: bytes, sender: Address) -> None:
        """Take a packet of the backend server."""
        packet = self._codec.decode(data)
        if packet is None:
            self._counters.add("packets_malformed")
        elif packet.returned:
            self._receive_returned(packet)
        else:
            self._carry_answer(packet)

    async def async_leave(self) -> None:
        """Reset all flows if the backend server is gone.

        Its VM stops after it, and nobody else could tell the callers. While the
        server lives, its flows go on as soon as a companion is back.
        """
        is_gone = await async_is_gone(self._addresses.backend_server)
        flows = self._book.open_flows()
        self._log.write(_PART, "leaving", server_gone=is_gone, flows=len(flows))
        for booked in flows if is_gone else ():
            self._reset(booked, "server_gone")

    async def async_sweep_regularly(self) -> None:
        """Drop what has ended, until cancelled."""
        while True:
            await self._clock.async_sleep(SWEEP_INTERVAL)
            now = self._clock.monotonic()
            self._book.drop_unused_openings(now)
            for booked in self._book.sweep(now):
                self._log_unanswered("request_timed_out", booked)
            self._release(now)
            self._ownership.sweep(now)

    def _consider(self, offer: Offer, balancer: Address) -> None:
        """Take or decline an offer."""
        packet = self._codec.decode(offer.packet)
        if packet is None or not packet.opens:
            self._counters.add("offers_malformed")
            return
        now = self._clock.monotonic()
        self._ownership.outages.note(offer.unsettled_ms)
        self._gate.set_slots(offer.slots)
        self._book.drop_unused_openings(now)
        outcome = self._judge(offer, packet, now)
        if outcome is Outcome.ACCEPTED:
            self._take(offer, packet, balancer, now)
        load = self._book.load(now)
        reply = OfferReply(offer.number, outcome, load, len(self._book))
        self._send_message(encode(reply), balancer)
        self._counters.add(f"offers_{outcome.name.lower()}")
        self._log.write(
            _PART,
            f"offer_{outcome.name.lower()}",
            flow=flow_text(packet.caller_flow),
            copy=packet.retransmission_count,
            occupancy=self._book.occupancy,
            load=load,
            limit=offer.limit,
            cold_per_s=offer.cold_per_s,
            balancer=balancer[0],
        )

    def _judge(self, offer: Offer, packet: Packet, now: timedelta) -> Outcome:
        """Return what becomes of an offer."""
        if offer.service != self._service:
            return Outcome.OTHER_SERVICE
        if self._book.get(packet.caller_flow) is not None:
            return Outcome.ACCEPTED
        if self._book.load(now) >= offer.limit:
            return Outcome.BUSY
        if offer.cold_per_s is not None and not self._budget.allows(
            offer.cold_per_s, now
        ):
            return Outcome.COLD
        return Outcome.ACCEPTED

    def _take(
        self, offer: Offer, packet: Packet, balancer: Address, now: timedelta
    ) -> None:
        """Give an opening to the backend server, or again if it lost the first."""
        booked = self._book.get(packet.caller_flow)
        if booked is not None and booked.is_open:
            return
        if booked is None:
            booked = self._book.open(packet.caller_flow, balancer, offer.number, now)
        booked.balancer, booked.offer = balancer, offer.number
        target = timedelta(milliseconds=offer.target_ms)
        self._book.note_terms(booked.flow, RouteTerms(offer.priority, target))
        self._budget.note(now)
        asyncio.get_running_loop().call_later(
            SERVER_ANSWER_TIMEOUT.total_seconds(), self._report_silence, booked
        )
        self._send_to_server(
            self._codec.without_label(packet), self._addresses.backend_server
        )

    def _is_own(self, booked: BookedFlow, packet: Packet) -> bool:
        """Tell whether a packet belongs to the flow as this server accepted it."""
        if booked.is_open:
            return True
        if booked.initial is None:
            return False
        return packet.acknowledged == (booked.initial + 1) % SEQUENCE_RANGE

    def _deliver(self, booked: BookedFlow, packet: Packet, balancer: Address) -> None:
        """Give a packet of a flow to the backend server."""
        now = self._clock.monotonic()
        booked.used = now
        booked.is_open = True
        booked.position = packet.acknowledged
        if packet.size:
            self._book.note_caller_data(booked, packet.sequence, packet.size, now)
        if packet.resets:
            self._book.close(booked)
        if packet.mark == Mark.LOOKUP:
            self._send_message(encode(Owner(booked.flow)), balancer)
        if self._gate.passes(booked, packet, now):
            self._give(packet)
        else:
            self._counters.add("packets_held")
        self._release(now)

    def _give(self, packet: Packet) -> None:
        """Send a packet to the backend server."""
        restored = self._codec.without_label(packet)
        self._send_to_server(restored, self._addresses.backend_server)
        self._counters.add("packets_delivered")

    def _release(self, now: timedelta) -> None:
        """Give waiting requests to slots that have become free."""
        for request in self._gate.release(now):
            waited = now - request.since
            self._counters.latency("waiting_seconds").observe(waited)
            self._log.write(
                _PART,
                "request_released",
                flow=flow_text(request.flow),
                waited_ms=round(waited.total_seconds() * 1000, 1),
                priority=request.priority,
                still_waiting=len(self._gate),
            )
            for packet in request.packets:
                self._give(packet)

    def _receive_returned(self, packet: Packet) -> None:
        """Take back a packet that the backend server doesn't want."""
        flow = packet.caller_flow
        booked = self._book.get(flow)
        if packet.opens:
            self._decline_late(packet, booked)
        elif booked is not None and booked.is_open and not booked.is_closed:
            booked.position = packet.acknowledged
            self._reset(booked, "server_lost_flow")
        else:
            self._ownership.receive_returned(packet)

    def _decline_late(self, packet: Packet, booked: BookedFlow | None) -> None:
        """Hand an opening back that the backend server refused."""
        self._counters.add("openings_returned")
        if booked is None or booked.is_open:
            return
        self._book.remove(booked.flow)
        self._report_late(booked, Outcome.REFUSED_BY_SERVER)

    def _report_silence(self, booked: BookedFlow) -> None:
        """Tell a balancer that the backend server has not accepted a flow."""
        is_pending = self._book.get(booked.flow) is booked
        if is_pending and booked.initial is None and not booked.is_open:
            self._report_late(booked, Outcome.SERVER_SILENT)

    def _report_late(self, booked: BookedFlow, outcome: Outcome) -> None:
        """Correct the reply to an offer that was taken."""
        load = self._book.load(self._clock.monotonic())
        reply = OfferReply(booked.offer, outcome, load, len(self._book))
        self._send_message(encode(reply), booked.balancer)
        self._log.write(
            _PART,
            outcome.name.lower(),
            flow=flow_text(booked.flow),
            occupancy=self._book.occupancy,
        )

    def _reset(self, booked: BookedFlow, reason: str) -> None:
        """End a flow that the backend server doesn't hold any more."""
        self._book.remove(booked.flow)
        self._gate.forget(booked.flow)
        self._counters.add(f"resets_{reason}")
        self._log.write(_PART, "reset", flow=flow_text(booked.flow), reason=reason)
        host, _ = unpack_address(booked.flow[:PACKED_ENDPOINT_BYTES])
        reset = self._codec.build_reset(booked.flow, booked.position)
        self._send_packet(reset, (host, self._addresses.callers_port))

    def _carry_answer(self, packet: Packet) -> None:
        """Send a packet of the backend server to the caller."""
        now = self._clock.monotonic()
        flow = packet.server_flow
        booked = self._book.get(flow)
        if packet.accepts:
            if booked is not None:
                booked.initial = packet.sequence
        elif booked is None:
            booked = self._learn(flow, now)
        if booked is not None:
            booked.used = now
            booked.acknowledged = packet.acknowledged
            booked.position = (packet.sequence + packet.size) % SEQUENCE_RANGE
            if packet.size:
                self._observe(self._gate.note_answer(booked, now))
            if packet.resets:
                self._log_unanswered("reset_by_server", booked)
                self._book.note_unanswered(booked, now)
            if packet.resets or packet.finishes:
                self._end(booked)
            self._release(now)
        host, _ = unpack_address(packet.receiver)
        self._send_packet(packet.data, (host, self._addresses.callers_port))
        self._counters.add("packets_answered")

    def _log_unanswered(self, event: str, booked: BookedFlow) -> None:
        """Log that a flow got no answer, and how long its request has run."""
        now = self._clock.monotonic()
        self._log.write(
            _PART,
            event,
            flow=flow_text(booked.flow),
            running_ms=_milliseconds(booked.started, now),
            asked_ms=_milliseconds(booked.asked, now),
            occupancy=self._book.occupancy,
            closed=booked.is_closed,
        )

    def _end(self, booked: BookedFlow) -> None:
        """Note that the backend server ended a flow.

        A request that waits is still given to it, so that it answers with a
        reset and the caller need not wait.
        """
        self._book.close(booked)
        request = self._gate.forget(booked.flow)
        for packet in request.packets if request is not None else ():
            self._give(packet)

    def _learn(self, flow: bytes, now: timedelta) -> BookedFlow:
        """Note a flow that the backend server shows to hold.

        A request that found that out is in progress there already.
        """
        probe = self._ownership.claim(flow)
        self._log.write(_PART, "flow_learnt", flow=flow_text(flow))
        booked = self._book.learn(flow, now)
        if probe is not None and probe.packet.size:
            packet = probe.packet
            self._book.note_caller_data(booked, packet.sequence, packet.size, now)
            self._book.start(booked, probe.at)
        return booked

    def _observe(self, duration: timedelta | None) -> None:
        """Count how long the backend server took for a request."""
        if duration is not None:
            self._counters.latency("server_seconds").observe(duration)


def _milliseconds(since: timedelta | None, now: timedelta) -> int:
    """Return the time since then, or -1 if there was no such moment."""
    return (now - since) // MILLISECOND if since is not None else -1

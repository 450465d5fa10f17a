"""Proxy between the balancers, the backend server and the callers."""

from datetime import timedelta

from pomelotrail_companion.request_queue import LearntConcurrency, WorkEstimate
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES, unpack_address
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import SEQUENCE_RANGE, Mark, Packet, PacketCodec, flow_text
from pomelotrail_core.offers import (
    MAX_PROBES_PER_REQUEST,
    Lookup,
    LookupMiss,
    Offer,
    Owner,
    Ping,
    Probe,
    ProbeRequest,
    decode,
    encode,
    service_label,
)

from .addresses import ServerProxyAddresses
from .const import (
    LOST_FLOW_MAX_IDLE,
    MILLISECOND,
    OPENING_TIMEOUT,
    SWEEP_INTERVAL,
)
from .flow_admission import FlowAdmission
from .ownership import Ownership
from .probe_relay import ProbeRelay
from .reachability import async_is_server_gone
from .request_gate import RequestGate
from .server_flows import ServerFlow, ServerFlows

_PART = "doorway"


class ServerProxy:
    """The datapath of a companion.

    It delivers packets of the flows that the backend server owns, and reports ownership
    to balancers; ``FlowAdmission`` decides on new flows. A process that has
    run for less than the maximum flow duration doesn't track all flows; it probes the
    backend server for the others.
    """

    def __init__(
        self,
        service: str,
        addresses: ServerProxyAddresses,
        is_first_start: bool,
        max_flow_duration: timedelta,
        codec: PacketCodec,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        send_packet: SendDatagram,
        send_message: SendDatagram,
        send_to_server: SendDatagram,
        learns_concurrency: bool = False,
        learns_speed: bool = False,
    ) -> None:
        """Initialize the proxy of a backend server of the service.

        ``is_first_start`` means that no earlier process of this companion can have
        accepted flows. No flow lasts longer than ``max_flow_duration``. With
        ``learns_concurrency``, a server that slows down before it is full gets fewer
        concurrent requests. With ``learns_speed``, balancers learn how fast a server
        with one slot is.
        """
        self._addresses = addresses
        self._label = service_label(service)
        self._codec = codec
        self._clock = clock
        self._log = log
        self._counters = counters
        self._send_packet = send_packet
        self._send_message = send_message
        self._send_to_server = send_to_server
        estimate = WorkEstimate()
        self._flows = ServerFlows(estimate, max_flow_duration)
        learnt = LearntConcurrency() if learns_concurrency else None
        self._gate = RequestGate(self._flows, estimate, learnt, learns_speed)
        self._ownership = Ownership(
            service,
            is_first_start,
            max_flow_duration,
            self._flows,
            codec,
            clock,
            log,
            counters,
            send_message,
            self._forward_to_server,
        )
        self._relay = ProbeRelay(clock, counters, send_message)
        self._admission = FlowAdmission(
            service,
            addresses.backend_server,
            self._flows,
            self._gate,
            self._ownership.outages,
            codec,
            clock,
            log,
            counters,
            send_message,
            send_to_server,
        )

    @property
    def occupancy(self) -> int:
        """Return the number of requests in progress."""
        return self._flows.occupancy

    def receive_message(self, data: bytes, sender: Address) -> None:
        """Handle a message of a balancer."""
        match decode(data):
            case Offer() as offer:
                self._admission.handle_offer(offer, sender)
            case Lookup() as lookup:
                self._ownership.answer_lookup(lookup, sender)
            case Ping(number):
                self._admission.handle_ping(number, sender)
            case ProbeRequest() as request:
                self._relay_probe(request, sender)
            case Probe(packet, balancer, collects_denials) if (
                len(balancer) == PACKED_ENDPOINT_BYTES
            ):
                deny_to = sender if collects_denials else None
                self._handle_packet(packet, unpack_address(balancer), deny_to)
            case LookupMiss() as miss:
                self._relay.record_denial(miss, sender)
            case _:
                self._record_malformed_message(sender)

    def receive_packet(self, data: bytes, sender: Address) -> None:
        """Handle a packet that a balancer forwarded."""
        self._handle_packet(data, (sender[0], self._addresses.fleet_port))

    def receive_from_server(self, data: bytes, sender: Address) -> None:
        """Handle a packet of the backend server."""
        packet = self._codec.decode(data)
        if packet is None:
            self._counters.add("packets_malformed")
        elif packet.returned:
            self._handle_returned_packet(packet)
        else:
            self._forward_to_caller(packet)

    async def async_shut_down(self) -> None:
        """Reset all flows if the backend server has stopped.

        Its VM stops next, and no other process could reset the flows. While the server
        runs, its flows continue as soon as a companion has started again.
        """
        is_gone = await async_is_server_gone(self._addresses.backend_server)
        flows = self._flows.open_flows()
        self._log.write(_PART, "leaving", server_gone=is_gone, flows=len(flows))
        for entry in flows if is_gone else ():
            self._reset(entry, "server_gone")

    async def async_sweep_regularly(self) -> None:
        """Remove expired flows, requests and probes periodically until cancelled."""
        while True:
            await self._clock.async_sleep(SWEEP_INTERVAL)
            now = self._clock.monotonic()
            self._flows.drop_unused_openings(now)
            swept = self._flows.sweep(now)
            for entry in swept.unanswered:
                self._log_unanswered("request_timed_out", entry)
            for entry in swept.expired:
                idle_ms = _elapsed_ms(entry.last_used, now)
                flow = flow_text(entry.flow)
                self._log.write(_PART, "flow_expired", flow=flow, idle_ms=idle_ms)
            self._learn_concurrency(now)
            self._release_requests(now)
            self._ownership.sweep(now)
            self._relay.sweep(now)

    def _learn_concurrency(self, now: timedelta) -> None:
        """Update the limit on concurrent requests, and log a change."""
        reasons = self._gate.learn_concurrency(now)
        if reasons is None:
            return
        limit = self._gate.limit or 0
        self._counters.set_gauge("concurrency_learnt", limit)
        self._log.write(
            _PART,
            "concurrency_changed",
            concurrency=limit,
            work=reasons,
            occupancy=self._flows.occupancy,
        )

    def _handle_packet(
        self, data: bytes, balancer: Address, deny_to: Address | None = None
    ) -> None:
        """Handle a packet of a balancer, whose messages port is given.

        A denial goes to ``deny_to`` if it is given.
        """
        deny_to = deny_to or balancer
        packet = self._codec.decode(data)
        if packet is None:
            self._counters.add("packets_malformed")
            return
        if packet.label != self._label:
            self._counters.add("packets_of_other_services")
            self._ownership.deny(packet, packet.mark, deny_to)
            return
        entry = self._flows.get(packet.caller_flow)
        if entry is not None and self._matches_flow(entry, packet):
            self._deliver(entry, packet, balancer)
        else:
            self._ownership.handle_unknown_flow(packet, balancer, deny_to)

    def _relay_probe(self, request: ProbeRequest, sender: Address) -> None:
        """Send the packet of a balancer on a slow link to several companions."""
        addresses = (request.balancer, *request.addresses)
        packet = self._codec.decode(request.packet)
        if (
            packet is None
            or len(request.addresses) > MAX_PROBES_PER_REQUEST
            or any(len(each) != PACKED_ENDPOINT_BYTES for each in addresses)
        ):
            self._record_malformed_message(sender)
            return
        self._relay.send(request, packet.caller_flow)

    def _record_malformed_message(self, sender: Address) -> None:
        """Count a message that can't be read or has a value out of range.

        The first one is logged with its sender.
        """
        if not self._counters.value("messages_malformed"):
            self._log.write(_PART, "message_malformed", sender=sender[0])
        self._counters.add("messages_malformed")

    def _matches_flow(self, entry: ServerFlow, packet: Packet) -> bool:
        """Return whether a packet belongs to the flow that this server accepted."""
        if entry.is_open:
            return True
        if entry.initial_sequence is None:
            return False
        return packet.acknowledged == (entry.initial_sequence + 1) % SEQUENCE_RANGE

    def _deliver(self, entry: ServerFlow, packet: Packet, balancer: Address) -> None:
        """Deliver a packet of a flow to the backend server, or queue it."""
        now = self._clock.monotonic()
        entry.idle_before = now - entry.last_used
        entry.last_used = now
        self._flows.record_use(entry)
        entry.next_sequence = packet.acknowledged
        if packet.size:
            self._flows.record_caller_data(entry, packet.sequence, packet.size, now)
        if packet.resets:
            self._flows.close(entry)
        if packet.mark == Mark.LOOKUP:
            self._send_message(encode(Owner(entry.flow)), balancer)
        if self._gate.admit(entry, packet, now):
            self._forward_to_server(packet)
        else:
            self._counters.add("packets_held")
        self._release_requests(now)

    def _forward_to_server(self, packet: Packet) -> None:
        """Send a packet to the backend server."""
        restored = self._codec.without_label(packet)
        self._send_to_server(restored, self._addresses.backend_server)
        self._counters.add("packets_delivered")

    def _release_requests(self, now: timedelta) -> None:
        """Send waiting requests to the backend server while it has free slots."""
        for request in self._gate.release(now):
            waited = now - request.queued
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
                self._forward_to_server(packet)

    def _handle_returned_packet(self, packet: Packet) -> None:
        """Handle a packet that the backend server returned."""
        flow = packet.caller_flow
        entry = self._flows.get(flow)
        if packet.opens:
            self._admission.handle_returned_opening(packet, entry)
        elif entry is not None and entry.is_open and not entry.is_closed:
            entry.next_sequence = packet.acknowledged
            self._reset(entry, "server_lost_flow")
            if self._shows_restart(entry):
                self._admission.record_possible_restart()
        else:
            self._ownership.handle_returned_probe(packet)

    def _shows_restart(self, entry: ServerFlow) -> bool:
        """Return whether a server that lost a flow has probably started again.

        It may have discarded the flow because its caller sent nothing.
        """
        if entry.is_confirmed:
            return entry.idle_before < LOST_FLOW_MAX_IDLE
        return self._clock.monotonic() - entry.opened < OPENING_TIMEOUT

    def _reset(self, entry: ServerFlow, reason: str) -> None:
        """Reset a flow that the backend server no longer has."""
        self._flows.remove(entry.flow)
        self._gate.remove(entry.flow)
        self._counters.add(f"resets_{reason}")
        self._log.write(_PART, "reset", flow=flow_text(entry.flow), reason=reason)
        host, _ = unpack_address(entry.flow[:PACKED_ENDPOINT_BYTES])
        reset = self._codec.build_reset(entry.flow, entry.next_sequence)
        self._send_packet(reset, (host, self._addresses.callers_port))

    def _forward_to_caller(self, packet: Packet) -> None:
        """Send a packet of the backend server to the caller."""
        now = self._clock.monotonic()
        flow = packet.server_flow
        entry = self._flows.get(flow)
        if packet.accepts:
            entry = self._flows.accept(flow, packet.sequence, now)
        elif entry is None or (not entry.is_open and self._ownership.is_probing(flow)):
            entry = self._learn(flow, now)
        entry.is_confirmed = entry.is_confirmed or not packet.accepts
        entry.last_used = now
        entry.acknowledged = packet.acknowledged
        entry.next_sequence = (packet.sequence + packet.size) % SEQUENCE_RANGE
        if packet.size:
            self._record_server_time(self._gate.record_response(entry, now))
        if packet.resets:
            self._log_unanswered("reset_by_server", entry)
            self._flows.record_unanswered(entry, now)
        if packet.resets or packet.finishes:
            self._close_flow(entry)
        self._release_requests(now)
        host, _ = unpack_address(packet.receiver)
        self._send_packet(packet.data, (host, self._addresses.callers_port))
        self._counters.add("packets_answered")

    def _log_unanswered(self, event: str, entry: ServerFlow) -> None:
        """Log an unanswered request and how long it has run."""
        now = self._clock.monotonic()
        self._log.write(
            _PART,
            event,
            flow=flow_text(entry.flow),
            running_ms=_elapsed_ms(entry.started, now),
            asked_ms=_elapsed_ms(entry.requested, now),
            occupancy=self._flows.occupancy,
            closed=entry.is_closed,
        )

    def _close_flow(self, entry: ServerFlow) -> None:
        """Close a flow that the backend server ended.

        A waiting request is still sent to the server, which replies with a reset, so
        that the caller doesn't wait for its timeout.
        """
        self._flows.close(entry)
        request = self._gate.remove(entry.flow)
        for packet in request.packets if request is not None else ():
            self._forward_to_server(packet)

    def _learn(self, flow: bytes, now: timedelta) -> ServerFlow:
        """Add an unknown flow for which the backend server has sent a packet.

        It replaces an opening between the same addresses, which the probe didn't match.
        If the probe carried a request, that request is in progress at the server.
        """
        probe = self._ownership.confirm_owner(flow)
        self._log.write(_PART, "flow_learnt", flow=flow_text(flow))
        entry = self._flows.learn(flow, now)
        if probe is not None and probe.packet.size:
            packet = probe.packet
            self._flows.record_caller_data(entry, packet.sequence, packet.size, now)
            self._flows.start_request(entry, probe.sent)
        return entry

    def _record_server_time(self, duration: timedelta | None) -> None:
        """Record the processing time of a request."""
        if duration is not None:
            self._counters.latency("server_seconds").observe(duration)


def _elapsed_ms(since: timedelta | None, now: timedelta) -> int:
    """Return the elapsed milliseconds, or -1 without a start time."""
    return (now - since) // MILLISECOND if since is not None else -1

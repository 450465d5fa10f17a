"""Admission of new flows to the backend server."""

import asyncio
from datetime import timedelta

from pomelotrail_companion.opening_wait import AdmissionByWait, Decision, NewFlow
from pomelotrail_companion.request_queue.const import ROUND_TRIP_TIME
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Packet, PacketCodec, flow_text
from pomelotrail_core.offers import (
    LOWEST_COUNTED_PRIORITY,
    Offer,
    OfferReply,
    Outcome,
    Pong,
    encode,
)

from .cold_budget import ColdBudget
from .const import (
    MILLISECOND,
    OPENING_TIMEOUT,
    RESTART_READ_DELAY,
    SERVER_ACCEPT_TIMEOUT,
)
from .outage_tracker import OutageTracker
from .request_gate import RequestGate
from .server_flows import RouteSettings, ServerFlow, ServerFlows

_PART = "doorway"


class FlowAdmission:
    """Accepts offers while the backend server has capacity, and reports its load.

    A flow that was accepted may be declined later, if the server refuses its opening
    packet or doesn't answer it.
    """

    def __init__(
        self,
        service: str,
        backend_server: Address,
        flows: ServerFlows,
        gate: RequestGate,
        outages: OutageTracker,
        codec: PacketCodec,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        send_message: SendDatagram,
        send_to_server: SendDatagram,
    ) -> None:
        """Admit flows to the server at ``backend_server``."""
        self._service = service
        self._backend_server = backend_server
        self._flows = flows
        self._gate = gate
        self._outages = outages
        self._codec = codec
        self._clock = clock
        self._log = log
        self._counters = counters
        self._send_message = send_message
        self._send_to_server = send_to_server
        self._by_wait = AdmissionByWait()
        self._budget = ColdBudget(clock.monotonic())
        self._may_be_cold_until = clock.monotonic()

    def handle_offer(self, offer: Offer, balancer: Address) -> None:
        """Accept or decline an offer."""
        packet = self._codec.decode(offer.packet)
        if packet is None or not packet.opens:
            self._counters.add("offers_malformed")
            return
        now = self._clock.monotonic()
        self._outages.record(offer.unsettled_ms, offer.era)
        self._gate.set_slots(offer.slots)
        self._flows.drop_unused_openings(now)
        decision = self._decide_by_wait(offer, packet, now)
        outcome = self._decide_outcome(offer, packet, decision, now)
        is_new = self._find_flow(packet) is None
        if outcome is Outcome.ACCEPTED:
            self._accept_opening(offer, packet, balancer, now)
        wait_ms = self._reported_wait_ms(decision, outcome)
        flow = packet.caller_flow
        load = self._send_reply(offer.number, outcome, flow, balancer, wait_ms)
        self._counters.add(f"offers_{outcome.name.lower()}")
        if outcome is Outcome.ACCEPTED and is_new and decision is not None:
            kind = "on_time" if decision.is_on_time else "late"
            priority = min(offer.priority, LOWEST_COUNTED_PRIORITY)
            self._counters.add(f"flows_{kind}_priority_{priority}")
        self._log.write(
            _PART,
            f"offer_{outcome.name.lower()}",
            flow=flow_text(packet.caller_flow),
            copy=packet.retransmission_count,
            occupancy=self._flows.occupancy,
            load=load,
            limit=offer.limit,
            cold_per_s=offer.cold_per_s,
            balancer=balancer[0],
            **_wait_fields(offer, decision),
        )

    def handle_ping(self, number: int, balancer: Address) -> None:
        """Reply to a ping."""
        pong = Pong(number, *self._load(), self._gate.limit or 0)
        self._send_message(encode(pong), balancer)

    def handle_returned_opening(self, packet: Packet, entry: ServerFlow | None) -> None:
        """Decline an accepted offer whose opening packet the server refused."""
        self._counters.add("openings_returned")
        if entry is None or entry.is_open:
            return
        # The server accepted the flow and returned a copy of its opening packet: the
        # caller's next packet shows whether the server still has it.
        if entry.initial_sequence is None:
            self._flows.remove(entry.flow)
        self._correct_offer_reply(entry, Outcome.REFUSED_BY_SERVER)

    def record_possible_restart(self) -> None:
        """Record that the server may have started again.

        Handles this load pattern: a server crashes and starts again under the id that
        it had. Until balancers have read its entry, they offer flows as to a warm one.
        """
        now = self._clock.monotonic()
        if now >= self._may_be_cold_until:
            self._log.write(_PART, "server_may_be_cold")
        self._may_be_cold_until = now + RESTART_READ_DELAY

    def _decide_by_wait(
        self, offer: Offer, packet: Packet, now: timedelta
    ) -> Decision | None:
        """Return what the expected wait says of a flow; None if it doesn't decide."""
        if offer.age_ms is None or offer.service != self._service:
            return None
        self._gate.order_by_deadline()
        backlog = self._gate.backlog(offer.priority, now)
        left = (offer.target_ms - offer.age_ms) * MILLISECOND
        return self._by_wait.decide(
            NewFlow(
                priority=offer.priority,
                slack=left - backlog.work_upper_bound - ROUND_TRIP_TIME,
                max_wait=(offer.max_wait_ms or 0) * MILLISECOND,
                is_repeated=packet.retransmission_count > 0,
            ),
            backlog,
        )

    def _decide_outcome(
        self, offer: Offer, packet: Packet, decision: Decision | None, now: timedelta
    ) -> Outcome:
        """Return the outcome of an offer."""
        if offer.service != self._service:
            return Outcome.OTHER_SERVICE
        entry = self._find_flow(packet)
        if entry is not None and (entry.is_open or entry.initial_sequence is not None):
            return Outcome.ACCEPTED
        if decision is not None and offer.max_wait_ms is not None:
            is_busy = not decision.is_accepted
        else:
            is_busy = self._flows.load(now) >= offer.limit
        # An opening that the server hasn't answered has its place already.
        if is_busy and entry is None:
            return Outcome.BUSY
        cold_per_s = offer.cold_per_s
        if cold_per_s is None and now < self._may_be_cold_until:
            cold_per_s = offer.start_per_s
        if cold_per_s is not None and not self._budget.allows(cold_per_s, now):
            return Outcome.COLD
        return Outcome.ACCEPTED

    def _reported_wait_ms(
        self, decision: Decision | None, outcome: Outcome
    ) -> float | None:
        """Return the wait of the next flow that can meet its target."""
        if decision is None:
            return None
        wait_ms = decision.wait_on_time / MILLISECOND
        if outcome is Outcome.ACCEPTED and decision.is_on_time:
            wait_ms += self._gate.work_ms
        return wait_ms

    def _accept_opening(
        self, offer: Offer, packet: Packet, balancer: Address, now: timedelta
    ) -> None:
        """Send an opening packet to the server, or again if it lost the first one."""
        entry = self._find_flow(packet)
        if entry is not None and entry.is_open:
            return
        if entry is None:
            age = offer.age_ms * MILLISECOND if offer.age_ms is not None else None
            entry = self._flows.open(
                packet.caller_flow, balancer, offer.number, now, age
            )
            entry.opening_sequence = packet.sequence
        entry.balancer, entry.offer_number = balancer, offer.number
        target = timedelta(milliseconds=offer.target_ms)
        self._flows.set_route_settings(
            entry.flow, RouteSettings(offer.priority, target)
        )
        self._budget.record(now)
        asyncio.get_running_loop().call_later(
            SERVER_ACCEPT_TIMEOUT.total_seconds(), self._report_accept_timeout, entry
        )
        self._send_to_server(self._codec.without_label(packet), self._backend_server)

    def _find_flow(self, packet: Packet) -> ServerFlow | None:
        """Return the flow whose opening packet this is, if it was accepted before.

        An opening that its caller no longer retransmits makes way for another flow of
        the same port.
        """
        entry = self._flows.get(packet.caller_flow)
        if entry is None or entry.is_open:
            return entry
        age = self._clock.monotonic() - entry.opened
        is_copy = entry.opening_sequence in (None, packet.sequence)
        return entry if is_copy or age < OPENING_TIMEOUT else None

    def _report_accept_timeout(self, entry: ServerFlow) -> None:
        """Report to the balancer that the backend server has not accepted a flow."""
        is_pending = self._flows.get(entry.flow) is entry
        if is_pending and entry.initial_sequence is None and not entry.is_open:
            self.record_possible_restart()
            self._correct_offer_reply(entry, Outcome.SERVER_SILENT)

    def _correct_offer_reply(self, entry: ServerFlow, outcome: Outcome) -> None:
        """Correct the reply to an accepted offer."""
        self._send_reply(entry.offer_number, outcome, entry.flow, entry.balancer)
        self._log.write(
            _PART,
            outcome.name.lower(),
            flow=flow_text(entry.flow),
            occupancy=self._flows.occupancy,
        )

    def _send_reply(
        self,
        number: int,
        outcome: Outcome,
        flow: bytes,
        balancer: Address,
        wait_ms: float | None = None,
    ) -> int:
        """Send a balancer the outcome of its offer; return the reported load."""
        load, flows, work_ms = self._load()
        concurrency = self._gate.limit or 0
        route_work_ms = self._gate.route_work_ms(flow, self._clock.monotonic())
        if route_work_ms is not None:
            work_ms, concurrency = route_work_ms, 1
        reply = OfferReply(number, outcome, load, flows, work_ms, concurrency, wait_ms)
        self._send_message(encode(reply), balancer)
        return reply.occupancy

    def _load(self) -> tuple[int, int, float]:
        """Return load, number of flows and work time, as replies contain them."""
        load = self._flows.load(self._clock.monotonic())
        return load, len(self._flows), self._gate.work_ms


def _wait_fields(
    offer: Offer, decision: Decision | None
) -> dict[str, int | bool | None]:
    """Return the fields of the log line of an offer that the wait decided."""
    if decision is None:
        return {}
    return {
        "age_ms": offer.age_ms or 0,
        "max_wait_ms": offer.max_wait_ms,
        "priority": offer.priority,
        "on_time": decision.is_on_time,
        "wait_on_time_ms": decision.wait_on_time // MILLISECOND,
        "wait_late_ms": decision.wait_late // MILLISECOND,
    }

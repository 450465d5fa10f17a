"""Routes the packets of callers at a companion."""

import abc
from typing import Final

from result import Ok

from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.draining.state import ServingState
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import ForwardedPacket, RoutingToken, TokenReader
from pomelotrail_core.routing.quic_header import destination_connection_id
from pomelotrail_core.timeline import EventKind
from pomelotrail_core.timeline.throttle import EventThrottle

from .caller_edge import CallerEdge, PacketVerdict
from .drops import DropCounter, DropReason
from .flow_admission import FlowAdmission
from .pass_on import PassOnDecisions

_CAPACITY_EVENTS: Final = (
    EventKind.BACKEND_SERVER_COLD,
    EventKind.BACKEND_SERVER_WARM,
    EventKind.LIMIT_CHANGED,
)


class CompanionSender(abc.ABC):
    """Sends packets to other companions."""

    @abc.abstractmethod
    def send_to_companion(self, packet: ForwardedPacket, companion: bytes) -> None:
        """Send a packet to the companion at that packed address."""


class PacketRouter:
    """Handles, passes on, refuses, or drops each packet of a caller."""

    def __init__(
        self,
        own_token: RoutingToken,
        reader: TokenReader,
        edge: CallerEdge,
        draining: DrainingState,
        admission: FlowAdmission,
        pass_on: PassOnDecisions,
        companion_sender: CompanionSender,
        drops: DropCounter,
        events: EventThrottle,
    ) -> None:
        """Route packets for the companion identified by ``own_token``."""
        self._own_token = own_token
        self._reader = reader
        self._edge = edge
        self._draining = draining
        self._admission = admission
        self._pass_on = pass_on
        self._companion_sender = companion_sender
        self._drops = drops
        self._events = events

    def route(self, packet: ForwardedPacket) -> None:
        """Route an authenticated packet."""
        if packet.service_number != self._own_token.service_number:
            self._drops.add(DropReason.OTHER_SERVICE)
            return
        if self._draining.state is ServingState.ZONE_OUT:
            self._handle_while_zone_out(packet)
            return
        verdict = self._edge.handle_packet(packet)
        if verdict is PacketVerdict.HANDLED:
            return
        self._handle_unknown_flow(packet, verdict)

    def _handle_while_zone_out(self, packet: ForwardedPacket) -> None:
        """Drop packets of flows in this zone; opening packets may be passed on."""
        if self._read_token(destination_connection_id(packet.payload)) is not None:
            self._drops.add(DropReason.ZONE_OUT)
            return
        self._handle_unknown_flow(packet, self._edge.classify(packet))

    def _handle_unknown_flow(
        self, packet: ForwardedPacket, verdict: PacketVerdict
    ) -> None:
        """Route a packet of a flow that this companion does not own."""
        connection_id = destination_connection_id(packet.payload)
        if verdict is PacketVerdict.MALFORMED or connection_id is None:
            self._drops.add(DropReason.MALFORMED)
            return
        token = self._read_token(connection_id)
        if token is not None:
            self._drops.add(self._stale_reason(token))
            return
        if verdict is PacketVerdict.OPENING:
            self._handle_opening_packet(packet, connection_id)
            return
        companion = self._pass_on.first_candidate_in_service(packet)
        if not self._send_to_companion(packet, companion):
            self._drops.add(DropReason.UNRECOGNISED)

    def _handle_opening_packet(
        self, packet: ForwardedPacket, connection_id: bytes
    ) -> None:
        """Open a flow, pass it on to the next candidate, or refuse it."""
        has_decision = self._pass_on.has_decision(connection_id)
        if not has_decision and self._accepts_flow(packet):
            if not self._edge.open_flow(packet):
                self._drops.add(DropReason.MALFORMED)
            return
        companion = self._pass_on.choose_companion(connection_id, packet)
        flow = connection_id.hex()
        if self._send_to_companion(packet, companion):
            if not has_decision:
                to = Endpoint.unpack(companion or b"")
                self._record(EventKind.FLOW_PASSED_ON, flow, f"to {to}")
            return
        self._edge.refuse(packet)
        if not has_decision:
            self._record(EventKind.FLOW_REFUSED, flow, "last candidate")

    def _record(self, kind: EventKind, flow: str, detail: str) -> None:
        """Record why this companion did not accept a flow."""
        if self._draining.accepts_new_flows:
            reason = "it has no room or holds its share of flows"
            cause = self._events.latest(*_CAPACITY_EVENTS)
        else:
            reason = f"it is {self._draining.state.value}"
            cause = self._events.latest(EventKind.DRAINING, EventKind.ZONE_OUT)
        self._events.record(kind, flow=flow, cause=cause, detail=f"{detail}, {reason}")

    def _accepts_flow(self, packet: ForwardedPacket) -> bool:
        """Return True if a new flow is accepted."""
        if not self._draining.accepts_new_flows:
            return False
        can_pass_on = self._pass_on.first_candidate_in_service(packet) is not None
        candidates = packet.candidates if can_pass_on else ()
        return self._admission.accepts_flow(self._edge.flow_count, candidates)

    def _send_to_companion(
        self, packet: ForwardedPacket, companion: bytes | None
    ) -> bool:
        """Send a packet to another companion; return False if there is none."""
        prepared = self._pass_on.prepare_packet(packet, companion)
        if prepared is None or companion is None:
            return False
        self._companion_sender.send_to_companion(prepared, companion)
        return True

    def _read_token(self, connection_id: bytes | None) -> RoutingToken | None:
        """Return the token in a connection ID, or None if it is not a token."""
        match self._reader.read(connection_id or b""):
            case Ok(token):
                return token
            case _:
                return None

    def _stale_reason(self, token: RoutingToken) -> DropReason:
        """Return why a token matches no flow of this companion."""
        if token.service_number != self._own_token.service_number:
            return DropReason.OTHER_SERVICE
        if token.companion != self._own_token.companion:
            return DropReason.OTHER_COMPANION
        if token.incarnation != self._own_token.incarnation:
            return DropReason.OTHER_INCARNATION
        return DropReason.ENDED_FLOW

"""Decides what becomes of a caller's packet at a companion."""

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
from .drops import DropReason, Drops
from .flow_admission import FlowAdmission
from .pass_on import PassOn

_ROOM_KINDS: Final = (
    EventKind.BACKEND_SERVER_COLD,
    EventKind.BACKEND_SERVER_WARM,
    EventKind.LIMIT_CHANGED,
)


class Onward(abc.ABC):
    """The way to other companions."""

    @abc.abstractmethod
    def send_onward(self, packet: ForwardedPacket, companion: bytes) -> None:
        """Send a packet to the companion at that packed address."""


class PacketRouter:
    """Takes a packet, passes it on, refuses it, or drops and counts it."""

    def __init__(
        self,
        own_token: RoutingToken,
        reader: TokenReader,
        edge: CallerEdge,
        draining: DrainingState,
        admission: FlowAdmission,
        pass_on: PassOn,
        onward: Onward,
        drops: Drops,
        events: EventThrottle,
    ) -> None:
        """Route for the companion that ``own_token`` names."""
        self._own_token = own_token
        self._reader = reader
        self._edge = edge
        self._draining = draining
        self._admission = admission
        self._pass_on = pass_on
        self._onward = onward
        self._drops = drops
        self._events = events

    def take(self, packet: ForwardedPacket) -> None:
        """Decide about an authenticated packet."""
        if packet.service_number != self._own_token.service_number:
            self._drops.add(DropReason.OTHER_SERVICE)
            return
        if self._draining.state is ServingState.ZONE_OUT:
            self._turn_away(packet)
            return
        verdict = self._edge.offer(packet)
        if verdict is PacketVerdict.TAKEN:
            return
        self._take_unknown(packet, verdict)

    def _turn_away(self, packet: ForwardedPacket) -> None:
        """Drop what belongs to this zone; openings may go on to another."""
        if self._token(destination_connection_id(packet.payload)) is not None:
            self._drops.add(DropReason.ZONE_OUT)
            return
        self._take_unknown(packet, self._edge.classify(packet))

    def _take_unknown(self, packet: ForwardedPacket, verdict: PacketVerdict) -> None:
        """Decide about a packet of a flow that this companion does not hold."""
        connection_id = destination_connection_id(packet.payload)
        if verdict is PacketVerdict.MALFORMED or connection_id is None:
            self._drops.add(DropReason.MALFORMED)
            return
        token = self._token(connection_id)
        if token is not None:
            self._drops.add(self._stale_reason(token))
            return
        if verdict is PacketVerdict.OPENING:
            self._take_opening(packet, connection_id)
            return
        companion = self._pass_on.first_allowed(packet)
        if not self._send_onward(packet, companion):
            self._drops.add(DropReason.UNRECOGNISED)

    def _take_opening(self, packet: ForwardedPacket, connection_id: bytes) -> None:
        """Open a flow, or let the next candidate do it, or refuse."""
        is_known = self._pass_on.remembers(connection_id)
        if not is_known and self._has_room(packet):
            if not self._edge.open_flow(packet):
                self._drops.add(DropReason.MALFORMED)
            return
        companion = self._pass_on.choose(connection_id, packet)
        flow = connection_id.hex()
        if self._send_onward(packet, companion):
            if not is_known:
                to = Endpoint.unpack(companion or b"")
                self._record(EventKind.FLOW_PASSED_ON, flow, f"to {to}")
            return
        self._edge.refuse(packet)
        if not is_known:
            self._record(EventKind.FLOW_REFUSED, flow, "last candidate")

    def _record(self, kind: EventKind, flow: str, detail: str) -> None:
        """Record why this companion did not take a flow."""
        if self._draining.takes_new_flows:
            reason = "it has no room or holds its share of flows"
            cause = self._events.latest(*_ROOM_KINDS)
        else:
            reason = f"it is {self._draining.state.value}"
            cause = self._events.latest(EventKind.DRAINING, EventKind.ZONE_OUT)
        self._events.record(kind, flow=flow, cause=cause, detail=f"{detail}, {reason}")

    def _has_room(self, packet: ForwardedPacket) -> bool:
        """Tell whether a new flow is welcome."""
        if not self._draining.takes_new_flows:
            return False
        can_pass_on = self._pass_on.first_allowed(packet) is not None
        candidates = packet.candidates if can_pass_on else ()
        return self._admission.has_room(self._edge.flow_count, candidates)

    def _send_onward(self, packet: ForwardedPacket, companion: bytes | None) -> bool:
        """Send a packet to another companion; False if there is none."""
        onward = self._pass_on.onward(packet, companion)
        if onward is None or companion is None:
            return False
        self._onward.send_onward(onward, companion)
        return True

    def _token(self, connection_id: bytes | None) -> RoutingToken | None:
        """Return what a connection ID names, or None if it is no token."""
        match self._reader.read(connection_id or b""):
            case Ok(token):
                return token
            case _:
                return None

    def _stale_reason(self, token: RoutingToken) -> DropReason:
        """Return why a token names no flow of this companion."""
        if token.service_number != self._own_token.service_number:
            return DropReason.OTHER_SERVICE
        if token.companion != self._own_token.companion:
            return DropReason.OTHER_COMPANION
        if token.incarnation != self._own_token.incarnation:
            return DropReason.OTHER_INCARNATION
        return DropReason.ENDED_FLOW

"""Builders of test data for the caller edge."""

from collections.abc import Callable, Sequence
from typing import Any, Final

import attrs
from opentelemetry.metrics import NoOpMeter

from harness.builders import LEDGER_NUMBER, configuration, routing_token, token_keys
from harness.fake_clock import FakeClock
from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.edge import (
    CallerEdge,
    DropCounter,
    FlowAdmission,
    PacketRouter,
    PassOnDecisions,
)
from pomelotrail_companion.edge.caller_edge import PacketVerdict
from pomelotrail_companion.edge.packet_router import CompanionSender
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import ForwardedPacket, TokenReader
from pomelotrail_core.routing.quic_header import destination_connection_id
from pomelotrail_core.timeline import Recorder
from pomelotrail_core.timeline.throttle import EventThrottle

CALLER: Final = Endpoint("198.51.100.4", 5000).pack()
BALANCER: Final = Endpoint("192.0.2.200", 7000).pack()
OPENING_BYTES: Final = 1200
_INITIAL: Final = 0xC0
_HANDSHAKE: Final = 0xE0
_SHORT: Final = 0x40


def companion(number: int) -> bytes:
    """Return the packed address of a companion of ``harness.builders``."""
    return Endpoint(f"192.0.2.{number}", 7000).pack()


def opening(connection_id: bytes = b"12345678") -> bytes:
    """Return data in the shape of an Initial packet."""
    head = bytes([_INITIAL, 0, 0, 0, 1, len(connection_id)]) + connection_id
    return head.ljust(OPENING_BYTES, b"\0")


def handshake(connection_id: bytes = b"12345678") -> bytes:
    """Return data in the shape of a Handshake packet."""
    return bytes([_HANDSHAKE, 0, 0, 0, 1, len(connection_id)]) + connection_id


def short(connection_id: bytes) -> bytes:
    """Return data in the shape of a packet of an established flow."""
    return bytes([_SHORT]) + connection_id + bytes(40)


def forwarded(payload: bytes, **changes: Any) -> ForwardedPacket:
    """Return a packet as forwarded by a balancer."""
    fields: dict[str, Any] = {
        "version": 1,
        "service_number": LEDGER_NUMBER,
        "caller": CALLER,
        "balancer": BALANCER,
        "hops": 0,
        "candidates": (companion(2), companion(3)),
        "payload": payload,
        **changes,
    }
    return ForwardedPacket(**fields)


class FakeEdge(CallerEdge):
    """A fake edge that identifies flows by connection ID only."""

    def __init__(self) -> None:
        """Initialize the edge without flows."""
        self.flows: set[bytes] = set()
        self.handled_packets: list[ForwardedPacket] = []
        self.refused: list[ForwardedPacket] = []
        self.busy: set[bytes] = set()
        self.calls: list[str] = []

    @property
    def flow_count(self) -> int:
        """Return the number of open flows."""
        return len(self.flows)

    def handle_packet(self, packet: ForwardedPacket) -> PacketVerdict:
        """Handle packets of known connection IDs."""
        if destination_connection_id(packet.payload) in self.flows:
            self.handled_packets.append(packet)
            return PacketVerdict.HANDLED
        return self.classify(packet)

    def classify(self, packet: ForwardedPacket) -> PacketVerdict:
        """Classify a packet by its first byte and size only."""
        if not packet.payload:
            return PacketVerdict.MALFORMED
        is_full_size = len(packet.payload) >= OPENING_BYTES
        if packet.payload[0] == _INITIAL and is_full_size:
            return PacketVerdict.OPENING
        return PacketVerdict.UNKNOWN

    def open_flow(self, packet: ForwardedPacket) -> bool:
        """Add the connection ID to the flows."""
        connection_id = destination_connection_id(packet.payload)
        assert connection_id is not None
        self.flows.add(connection_id)
        self.handled_packets.append(packet)
        return True

    def refuse(self, packet: ForwardedPacket) -> None:
        """Record a refused packet."""
        self.refused.append(packet)

    @property
    def busy_flow_count(self) -> int:
        """Return the number of flows that the test has marked as busy."""
        return len(self.busy & self.flows)

    def announce_leaving(self) -> None:
        """Record the call."""
        self.calls.append("announce")

    def resume(self) -> None:
        """Record the call."""
        self.calls.append("resume")

    def refuse_requests(self) -> None:
        """Record the call."""
        self.calls.append("refuse")

    def close_idle(self) -> None:
        """Remove the flows that are not busy."""
        self.flows &= self.busy

    def close_all(self, reason: str) -> None:
        """Record the call and remove every flow."""
        self.calls.append(f"close {len(self.flows)}")
        self.flows.clear()


class FakeCompanionSender(CompanionSender):
    """Records packets sent to other companions."""

    def __init__(self) -> None:
        """Initialize an empty record."""
        self.sent: list[tuple[bytes, ForwardedPacket]] = []

    def send_to_companion(self, packet: ForwardedPacket, companion: bytes) -> None:
        """Record one packet."""
        self.sent.append((companion, packet))


@attrs.define
class FakeAdmission(FlowAdmission):
    """Accepts flows as set by the test."""

    accepts_flows: bool = True

    def accepts_flow(self, flow_count: int, candidates: Sequence[bytes]) -> bool:
        """Return the value set by the test."""
        return self.accepts_flows


class Bench:
    """A packet router with fake dependencies."""

    def __init__(
        self,
        number: int = 1,
        clock: FakeClock | None = None,
        companion_sender: CompanionSender | None = None,
        is_out: Callable[[bytes], bool] = lambda packed: False,
    ) -> None:
        """Initialize the router for the companion of that number."""
        self.clock = clock or FakeClock()
        self.recorder = Recorder(f"ledger-{number}", "veraval", self.clock)
        self.events = EventThrottle(self.recorder, self.clock)
        self.edge = FakeEdge()
        self.companion_sender = companion_sender or FakeCompanionSender()
        self.admission = FakeAdmission()
        self.drops = DropCounter(NoOpMeter("test"), self.events)
        names = ("veraval", "porbandar", "jafrabad")
        self.zone = names[number % 3]
        self.draining = DrainingState(f"ledger-{number}", self.zone, self.recorder)
        self.draining.configure(configuration())
        self.pass_on = PassOnDecisions(self.clock, is_out)
        self.token = routing_token(
            companion=Endpoint.unpack(companion(number)), zone_number=number % 3 + 1
        )
        self.router = PacketRouter(
            self.token,
            TokenReader(token_keys()),
            self.edge,
            self.draining,
            self.admission,
            self.pass_on,
            self.companion_sender,
            self.drops,
            self.events,
        )

    def route(self, payload: bytes, **changes: Any) -> None:
        """Route a packet of a caller."""
        self.router.route(forwarded(payload, **changes))

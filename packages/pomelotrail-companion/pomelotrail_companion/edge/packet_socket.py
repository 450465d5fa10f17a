"""The socket between this companion and the balancers."""

import asyncio
from collections.abc import Callable

import attrs
from opentelemetry.metrics import Meter
from result import Err, Ok

from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.draining.state import ServingState
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import Encapsulation, ForwardedPacket, ReturnedPacket
from pomelotrail_core.timeline import EventKind, Recorder

from .caller_edge import CallerEdge, PacketVerdict
from .const import MAX_HOPS


class PacketSocket(asyncio.DatagramProtocol):
    """Gives callers' packets to the edge, or passes them on."""

    def __init__(
        self,
        service_number: int,
        connections: int,
        encapsulation: Encapsulation,
        draining: DrainingState,
        version: Callable[[], int],
        recorder: Recorder,
        meter: Meter,
    ) -> None:
        """Take packets of one service, with at most ``connections`` flows."""
        self._service_number = service_number
        self._connections = connections
        self._encapsulation = encapsulation
        self._draining = draining
        self._version = version
        self._recorder = recorder
        self._edge: CallerEdge | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._dropped = meter.create_counter("dropped_packets")
        self._passed_on = meter.create_counter("passed_on_packets")

    def attach(self, edge: CallerEdge) -> None:
        """Give packets to this edge."""
        self._edge = edge

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Check a datagram and take, pass on or drop what it carries."""
        match self._encapsulation.decode_forwarded(data):
            case Err(error):
                self._drop(error.name.lower())
            case Ok(packet):
                self._take(packet)

    def return_to_caller(self, payload: bytes, caller: bytes, balancer: bytes) -> None:
        """Send an answer through a balancer."""
        if self._transport is None:
            return
        packet = ReturnedPacket(self._version(), self._service_number, caller, payload)
        datagram = self._encapsulation.encode_returned(packet)
        self._transport.sendto(datagram, Endpoint.unpack(balancer).socket_address)

    def _take(self, packet: ForwardedPacket) -> None:
        """Handle an authenticated packet."""
        if packet.service_number != self._service_number:
            self._drop("other service")
            return
        if self._edge is None or self._draining.state is ServingState.ZONE_OUT:
            self._drop("zone out")
            return
        verdict = self._edge.offer(packet)
        if verdict is PacketVerdict.TAKEN:
            return
        if verdict is PacketVerdict.OPENING and self._has_room():
            self._edge.open_flow(packet)
            return
        self._pass_on(packet)

    def _has_room(self) -> bool:
        """Tell whether a new flow fits."""
        assert self._edge is not None
        has_room = self._edge.flow_count < self._connections
        return has_room and self._draining.takes_new_flows

    def _pass_on(self, packet: ForwardedPacket) -> None:
        """Send a packet to the next candidate, or drop it after the last."""
        if not packet.candidates or packet.hops >= MAX_HOPS or self._transport is None:
            self._drop("no candidate")
            return
        onward = attrs.evolve(
            packet, hops=packet.hops + 1, candidates=packet.candidates[1:]
        )
        next_companion = Endpoint.unpack(packet.candidates[0])
        datagram = self._encapsulation.encode_forwarded(onward)
        self._transport.sendto(datagram, next_companion.socket_address)
        self._passed_on.add(1)
        self._recorder.record(EventKind.FLOW_PASSED_ON, detail=f"to {next_companion}")

    def _drop(self, reason: str) -> None:
        """Count a dropped packet."""
        self._dropped.add(1, {"reason": reason})

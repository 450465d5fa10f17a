"""Socket for packets between this companion and the balancers."""

import asyncio

from opentelemetry.metrics import Meter
from result import Err, Ok

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import Encapsulation, ForwardedPacket, ReturnedPacket
from pomelotrail_core.routing.version_watch import VersionGetter, VersionWatch

from .drops import DropCounter, DropReason, encapsulation_reason
from .packet_router import CompanionSender, PacketRouter


class PacketSocket(asyncio.DatagramProtocol, CompanionSender):
    """Decodes datagrams of the fleet for the router and encodes its packets."""

    def __init__(
        self,
        service_number: int,
        encapsulation: Encapsulation,
        own_version: VersionGetter,
        versions: VersionWatch,
        drops: DropCounter,
        meter: Meter,
    ) -> None:
        """Initialize the socket for one service."""
        self._service_number = service_number
        self._encapsulation = encapsulation
        self._own_version = own_version
        self._versions = versions
        self._drops = drops
        self._router: PacketRouter | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._received = 0
        self._passed_on = meter.create_counter("passed_on_packets")

    @property
    def received(self) -> int:
        """Return the number of received datagrams."""
        return self._received

    def attach(self, router: PacketRouter) -> None:
        """Set the router that handles received packets."""
        self._router = router

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and route its packet."""
        self._received += 1
        match self._encapsulation.decode_forwarded(data):
            case Err(error):
                self._drops.add(encapsulation_reason(error))
            case Ok(packet):
                self._versions.observe(packet.version, addr)
                self._route(packet)

    def return_to_caller(self, payload: bytes, caller: bytes, balancer: bytes) -> None:
        """Send an answer through a balancer."""
        if self._transport is None:
            return
        version = self._own_version()
        packet = ReturnedPacket(version, self._service_number, caller, payload)
        datagram = self._encapsulation.encode_returned(packet)
        self._transport.sendto(datagram, Endpoint.unpack(balancer).socket_address)

    def send_to_companion(self, packet: ForwardedPacket, companion: bytes) -> None:
        """Send a packet to another companion."""
        if self._transport is None:
            return
        datagram = self._encapsulation.encode_forwarded(packet)
        self._transport.sendto(datagram, Endpoint.unpack(companion).socket_address)
        self._passed_on.add(1)

    def _route(self, packet: ForwardedPacket) -> None:
        """Route a packet, or drop it if no router is attached yet."""
        if self._router is None:
            self._drops.add(DropReason.NOT_READY)
            return
        self._router.route(packet)

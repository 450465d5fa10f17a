"""The socket at which the fabric delivers the packets of one service."""

import asyncio
from collections.abc import Callable

from opentelemetry.metrics import Meter
from result import Err, Ok

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import Encapsulation, ForwardedPacket

from .errors import DropReason
from .forwarder import Forwarder

SendToCompanion = Callable[[bytes, tuple[str, int]], None]


class ServiceSocket(asyncio.DatagramProtocol):
    """Wraps each packet of a caller and sends it to a companion."""

    def __init__(
        self,
        service_number: int,
        return_address: Endpoint,
        forwarder: Forwarder,
        encapsulation: Encapsulation,
        version: Callable[[], int],
        send: SendToCompanion,
        meter: Meter,
    ) -> None:
        """Forward for one service; answers come back to ``return_address``."""
        self._service_number = service_number
        self._return_address = return_address.pack()
        self._forwarder = forwarder
        self._encapsulation = encapsulation
        self._version = version
        self._send = send
        self._transport: asyncio.DatagramTransport | None = None
        self._forwarded = meter.create_counter("forwarded_packets")
        self._dropped = meter.create_counter("dropped_packets")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for answers."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward one packet of a caller, or drop and count it."""
        match self._forwarder.route(self._service_number, data):
            case Err(reason):
                self._count_drop(reason)
            case Ok(route):
                packet = ForwardedPacket(
                    version=self._version(),
                    service_number=self._service_number,
                    caller=Endpoint(*addr).pack(),
                    balancer=self._return_address,
                    hops=0,
                    candidates=route.candidates,
                    payload=data,
                )
                datagram = self._encapsulation.encode_forwarded(packet)
                self._send(datagram, route.destination)
                self._forwarded.add(1)

    def send_to_caller(self, payload: bytes, caller: Endpoint) -> None:
        """Send an answer from the address of the service."""
        if self._transport is not None:
            self._transport.sendto(payload, caller.socket_address)

    def _count_drop(self, reason: DropReason) -> None:
        """Count one dropped packet."""
        self._dropped.add(1, {"reason": reason.value})

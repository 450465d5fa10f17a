"""Socket between the balancer and the companions."""

import asyncio

from opentelemetry.metrics import Meter
from result import Err

from pomelotrail_balancer.forwarding import PacketCounter, ServiceSocket
from pomelotrail_core.routing import Encapsulation
from pomelotrail_core.routing.version_watch import VersionWatch


class FleetSocket(asyncio.DatagramProtocol):
    """Decapsulates answers of companions and sends them to callers."""

    def __init__(
        self, encapsulation: Encapsulation, versions: VersionWatch, meter: Meter
    ) -> None:
        """Accept answers that the fleet key authenticates."""
        self._versions = versions
        self._encapsulation = encapsulation
        self._services: dict[int, ServiceSocket] = {}
        self._returned = PacketCounter(meter, "returned_packets", "service")
        self._rejected = PacketCounter(meter, "rejected_packets")

    def add_service(self, service_number: int, service: ServiceSocket) -> None:
        """Send the answers of a service through its socket."""
        self._services[service_number] = service

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Authenticate an answer and send it to its caller."""
        packet = self._encapsulation.decode_caller_answer(data)
        if packet is None:
            self._reject(data)
            return
        self._versions.observe(packet.version, addr)
        service = self._services.get(packet.service_number)
        if service is None:
            self._rejected.add("service")
            return
        service.send_to_caller(packet.payload, packet.caller)
        self._returned.counts[service.label] += 1

    def _reject(self, data: bytes) -> None:
        """Count a datagram that isn't a valid answer of this fleet."""
        match self._encapsulation.decode_returned(data):
            case Err(error):
                self._rejected.add(error.name.lower())

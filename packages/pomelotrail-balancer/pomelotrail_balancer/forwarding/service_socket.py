"""Socket on which the fabric delivers the packets of a service."""

import asyncio
from collections.abc import Callable

from result import Err, Ok

from pomelotrail_core.configuration import Configuration
from pomelotrail_core.endpoint import Endpoint, pack_address
from pomelotrail_core.routing import Encapsulation

from .counters import PacketCounter
from .forwarder import Forwarder

SendToCompanion = Callable[[bytes, tuple[str, int]], None]


class ServiceSocket(asyncio.DatagramProtocol):
    """Encapsulates packets of callers and sends them to companions."""

    def __init__(
        self,
        service_number: int,
        return_address: Endpoint,
        forwarder: Forwarder,
        encapsulation: Encapsulation,
        send: SendToCompanion,
        forwarded: PacketCounter,
        dropped: PacketCounter,
    ) -> None:
        """Forward packets of a service; answers are sent to ``return_address``."""
        self._service_number = service_number
        self._label = str(service_number)
        self._forwarder = forwarder
        self._sealer = encapsulation.sealer(service_number, return_address.pack())
        self._send = send
        self._transport: asyncio.DatagramTransport | None = None
        self._forwarded = forwarded
        self._dropped = dropped

    @property
    def label(self) -> str:
        """Return the label of the service in metrics."""
        return self._label

    def configure(self, configuration: Configuration) -> None:
        """Announce the configuration version in force to companions."""
        self._sealer.set_version(configuration.version)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for answers."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Forward a packet of a caller, or drop and count it."""
        route = self._forwarder.known_route(self._service_number, data)
        if route is None:
            match self._forwarder.route(self._service_number, data):
                case Err(reason):
                    self._dropped.add(reason.value)
                    return
                case Ok(found):
                    route = found
        datagram = self._sealer.seal(pack_address(addr), route.candidates, data)
        self._send(datagram, route.destination)
        self._forwarded.counts[self._label] += 1

    def send_to_caller(self, payload: bytes, caller: tuple[str, int]) -> None:
        """Send an answer from the address of the service."""
        if self._transport is not None:
            self._transport.sendto(payload, caller)

"""Networks through which stand-ins send and receive datagrams."""

import abc
import asyncio
from typing import Final

from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import (
    Address,
    DatagramHandler,
    SendDatagram,
    catch_errors,
    open_datagram_socket,
)
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog

HOP_DELAY_S: Final = 0.001


class Network(abc.ABC):
    """A network that delivers datagrams between addresses."""

    @abc.abstractmethod
    def listen(self, address: Address, receive: DatagramHandler) -> None:
        """Register a function for datagrams to an address."""

    @abc.abstractmethod
    def sender(self, source: Address) -> SendDatagram:
        """Return a function that sends datagrams from an address."""


class MemoryNetwork(Network):
    """A network with a delay of one hop in virtual time and hosts that can be down."""

    def __init__(self) -> None:
        """Initialize without receivers."""
        self._receivers: dict[Address, DatagramHandler] = {}
        self.down_hosts: set[str] = set()
        self.sent = 0

    def listen(self, address: Address, receive: DatagramHandler) -> None:
        """Register a function for datagrams to an address."""
        self._receivers[address] = receive

    def guard_receivers(self, log: EventLog, counters: Counters) -> None:
        """Log and count errors of receivers, as real processes do."""
        for address, receive in self._receivers.items():
            self._receivers[address] = catch_errors(receive, log, counters)

    def remove_host(self, host: str) -> None:
        """Remove the receivers of a host, as if its process had stopped."""
        for address in [known for known in self._receivers if known[0] == host]:
            del self._receivers[address]

    def sender(self, source: Address) -> SendDatagram:
        """Return a function that sends datagrams from an address."""

        def send(data: bytes, target: Address) -> None:
            """Deliver after one hop unless the source is down."""
            self.sent += 1
            if source[0] not in self.down_hosts:
                loop = asyncio.get_running_loop()
                loop.call_later(HOP_DELAY_S, self._deliver, data, source, target)

        return send

    def _deliver(self, data: bytes, source: Address, target: Address) -> None:
        """Deliver a datagram if the target still receives and is up."""
        receive = self._receivers.get(target)
        if receive is not None and target[0] not in self.down_hosts:
            receive(data, source)


class LoopbackNetwork(Network):
    """A network of sockets on the loopback addresses of this machine."""

    def __init__(self) -> None:
        """Initialize without sockets."""
        self._sockets: dict[Address, DatagramSocket] = {}

    def listen(self, address: Address, receive: DatagramHandler) -> None:
        """Register a function for datagrams to an address."""
        self._sockets[address] = open_datagram_socket(Endpoint(*address), receive)

    def sender(self, source: Address) -> SendDatagram:
        """Return a function that sends from the socket at an address."""

        def send(data: bytes, target: Address) -> None:
            """Send immediately."""
            self._sockets[source].sendto(data, target)

        return send

    def close(self) -> None:
        """Close all sockets."""
        for datagram_socket in self._sockets.values():
            datagram_socket.close()

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
IP_AND_UDP_HEADER_BYTES: Final = 28


class Network(abc.ABC):
    """A network that delivers datagrams between addresses."""

    @abc.abstractmethod
    def listen(self, address: Address, receive: DatagramHandler) -> None:
        """Register a function for datagrams to an address."""

    @abc.abstractmethod
    def sender(self, source: Address) -> SendDatagram:
        """Return a function that sends datagrams from an address."""


class SlowLink:
    """One direction of a link, with a queue of the datagrams that wait for it."""

    def __init__(self, bytes_per_s: float) -> None:
        """Initialize an idle link."""
        self._bytes_per_s = bytes_per_s
        self._free_at = 0.0

    def occupy(self, datagram_bytes: int, now: float) -> float:
        """Queue a datagram; return the seconds until the link has carried it."""
        carried_bytes = datagram_bytes + IP_AND_UDP_HEADER_BYTES
        self._free_at = max(self._free_at, now) + carried_bytes / self._bytes_per_s
        return self._free_at - now


class MemoryNetwork(Network):
    """A network with a delay of one hop in virtual time and hosts that can be down."""

    def __init__(self) -> None:
        """Initialize without receivers."""
        self._receivers: dict[Address, DatagramHandler] = {}
        self._links: dict[str, tuple[SlowLink, SlowLink]] = {}
        self.down_hosts: set[str] = set()
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.sent = 0

    def limit_link(self, host: str, bytes_per_s: float) -> None:
        """Give a host a slow link; the links of other hosts have no limit."""
        self._links[host] = (SlowLink(bytes_per_s), SlowLink(bytes_per_s))

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
            if (
                source[0] not in self.down_hosts
                and (source[0], target[0]) not in self.blocked_pairs
            ):
                loop = asyncio.get_running_loop()
                delay = HOP_DELAY_S
                if source[0] in self._links:
                    outgoing, _ = self._links[source[0]]
                    delay += outgoing.occupy(len(data), loop.time())
                loop.call_later(delay, self._arrive, data, source, target)

        return send

    def _arrive(self, data: bytes, source: Address, target: Address) -> None:
        """Deliver a datagram, or queue it at the slow link of its target."""
        if target[0] not in self._links:
            self._deliver(data, source, target)
            return
        loop = asyncio.get_running_loop()
        _, incoming = self._links[target[0]]
        delay = incoming.occupy(len(data), loop.time())
        loop.call_later(delay, self._deliver, data, source, target)

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

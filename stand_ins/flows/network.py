"""Networks that stand-ins send and receive datagrams by."""

import abc
import asyncio
from typing import Final

from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import (
    Address,
    Received,
    Send,
    guarded,
    open_datagrams,
)
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog

HOP_S: Final = 0.001


class Network(abc.ABC):
    """Carries datagrams between addresses."""

    @abc.abstractmethod
    def listen(self, address: Address, receive: Received) -> None:
        """Give what arrives at an address to a function."""

    @abc.abstractmethod
    def sender(self, source: Address) -> Send:
        """Return a function that sends from an address."""


class MemoryNetwork(Network):
    """Delivers after one hop of virtual time, unless an address is down."""

    def __init__(self) -> None:
        """Start without receivers."""
        self._receivers: dict[Address, Received] = {}
        self.down: set[str] = set()
        self.sent = 0

    def listen(self, address: Address, receive: Received) -> None:
        """Give what arrives at an address to a function."""
        self._receivers[address] = receive

    def guard(self, log: EventLog, counters: Counters) -> None:
        """Let receivers fail as those of real processes do: logged and counted."""
        for address, receive in self._receivers.items():
            self._receivers[address] = guarded(receive, log, counters)

    def silence(self, host: str) -> None:
        """Forget the receivers of a host, as when its process dies."""
        for address in [each for each in self._receivers if each[0] == host]:
            del self._receivers[address]

    def sender(self, source: Address) -> Send:
        """Return a function that sends from an address."""

        def send(data: bytes, target: Address) -> None:
            """Deliver later, if the target is still there."""
            self.sent += 1
            if source[0] not in self.down:
                loop = asyncio.get_running_loop()
                loop.call_later(HOP_S, self._deliver, data, source, target)

        return send

    def _deliver(self, data: bytes, source: Address, target: Address) -> None:
        """Hand a datagram over."""
        receive = self._receivers.get(target)
        if receive is not None and target[0] not in self.down:
            receive(data, source)


class LoopbackNetwork(Network):
    """Sends by sockets on the loopback addresses of this machine."""

    def __init__(self) -> None:
        """Start without sockets."""
        self._sockets: dict[Address, DatagramSocket] = {}

    def listen(self, address: Address, receive: Received) -> None:
        """Give what arrives at an address to a function."""
        self._sockets[address] = open_datagrams(Endpoint(*address), receive)

    def sender(self, source: Address) -> Send:
        """Return a function that sends by the socket that listens there."""

        def send(data: bytes, target: Address) -> None:
            """Send now."""
            self._sockets[source].sendto(data, target)

        return send

    def close(self) -> None:
        """Close all sockets."""
        for each in self._sockets.values():
            each.close()

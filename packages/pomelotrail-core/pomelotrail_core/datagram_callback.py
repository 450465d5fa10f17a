"""A datagram protocol that hands everything to one function."""

import asyncio
from collections.abc import Callable

from pomelotrail_core.counters import Counters
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog

Address = tuple[str, int]
Received = Callable[[bytes, Address], None]
Send = Callable[[bytes, Address], None]


class _CallbackProtocol(asyncio.DatagramProtocol):
    """Calls a function for each datagram."""

    def __init__(self, received: Received) -> None:
        """Call ``received`` with the data and the address of the sender."""
        self.datagram_received = received  # type: ignore[method-assign]


def guarded(received: Received, log: EventLog, counters: Counters) -> Received:
    """Return a function that logs and counts what its handler fails on.

    A datagram that nobody foresaw costs its sender an answer, and nobody else.
    """

    def receive(data: bytes, sender: Address) -> None:
        """Handle a datagram, whatever it holds."""
        try:
            received(data, sender)
        except Exception as error:  # noqa: BLE001
            counters.add("datagrams_failed")
            log.write(
                "process", "datagram_failed", sender=sender[0], problem=repr(error)
            )

    return receive


def open_datagrams(endpoint: Endpoint, received: Received) -> DatagramSocket:
    """Read datagrams at an address from now on."""
    return DatagramSocket(_CallbackProtocol(received), endpoint.socket_address)

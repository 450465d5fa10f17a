"""A datagram protocol that passes each datagram to a callback."""

import asyncio
from collections.abc import Callable
from typing import Final

from pomelotrail_core.counters import Counters
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog

# Texts of errors may quote the datagram.
_MAX_PROBLEM_LENGTH: Final = 500

Address = tuple[str, int]
DatagramHandler = Callable[[bytes, Address], None]
SendDatagram = Callable[[bytes, Address], None]


class _CallbackProtocol(asyncio.DatagramProtocol):
    """Calls a handler for each datagram."""

    def __init__(self, received: DatagramHandler) -> None:
        """Initialize with the handler of the data and the sender's address."""
        self.datagram_received = received  # type: ignore[method-assign]


def catch_errors(
    received: DatagramHandler, log: EventLog, counters: Counters
) -> DatagramHandler:
    """Return a handler that logs and counts the exceptions of another one.

    A datagram that raises an unexpected exception is dropped and affects no other.
    """

    def receive(data: bytes, sender: Address) -> None:
        """Handle a datagram without raising an exception."""
        try:
            received(data, sender)
        except Exception as error:  # noqa: BLE001
            counters.add("datagrams_failed")
            problem = repr(error)[:_MAX_PROBLEM_LENGTH]
            log.write("process", "datagram_failed", sender=sender[0], problem=problem)

    return receive


def open_datagram_socket(
    endpoint: Endpoint, received: DatagramHandler
) -> DatagramSocket:
    """Open a socket that passes datagrams to a handler."""
    return DatagramSocket(_CallbackProtocol(received), endpoint.socket_address)

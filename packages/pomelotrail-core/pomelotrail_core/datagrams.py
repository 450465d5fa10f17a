"""A UDP socket that reads many datagrams per event of the event loop.

The datagram transport of the event loop takes 10 % longer per datagram and queues what
the socket can't send. Senders retransmit lost packets, so dropping a packet is better
than sending it late from a queue.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol

from pomelotrail_core.early_sockets import get_or_bind

_DATAGRAMS_PER_READ: Final = 32
_MAX_DATAGRAM_BYTES: Final = 65_535


class ReadPause(Protocol):
    """A condition that pauses the reading of a socket."""

    def is_paused(self) -> bool:
        """Return whether reading is paused."""

    def call_when_resumed(self, on_resume: Callable[[], None]) -> None:
        """Call a function when reading may resume."""


class DatagramSocket(asyncio.DatagramTransport):
    """A datagram transport that sends without a queue."""

    def __init__(
        self,
        protocol: asyncio.DatagramProtocol,
        address: tuple[str, int],
        pause: ReadPause | None = None,
    ) -> None:
        """Bind to an address and pass received datagrams to the protocol.

        While ``pause`` is active, datagrams stay in the receive buffer of the kernel.
        """
        super().__init__()
        self._pause = pause
        self._protocol = protocol
        self._socket = get_or_bind(address)
        self._send = self._socket.sendto
        self._loop = asyncio.get_running_loop()
        self._unsent = 0
        self._resume()
        protocol.connection_made(self)

    @property
    def unsent(self) -> int:
        """Return the number of datagrams that could not be sent."""
        return self._unsent

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the local address for ``sockname``."""
        return self._socket.getsockname() if name == "sockname" else default

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram, or count it as unsent if the socket rejects it."""
        try:
            self._send(data, addr)
        except OSError:
            self._unsent += 1

    def is_closing(self) -> bool:
        """Return whether the socket is closed."""
        return self._socket.fileno() < 0

    def close(self) -> None:
        """Stop reading and close the socket."""
        if not self.is_closing():
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def abort(self) -> None:
        """Close the socket; nothing is buffered."""
        self.close()

    def _resume(self) -> None:
        """Start reading."""
        if not self.is_closing():
            self._loop.add_reader(self._socket.fileno(), self._read)

    def _read(self) -> None:
        """Pass received datagrams to the protocol."""
        if self._pause is not None and self._pause.is_paused():
            self._loop.remove_reader(self._socket.fileno())
            self._pause.call_when_resumed(self._resume)
            return
        receive = self._socket.recvfrom
        received = self._protocol.datagram_received
        for _ in range(_DATAGRAMS_PER_READ):
            try:
                data, address = receive(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            received(data, address)
            if self.is_closing():
                return

"""A UDP socket that reads many datagrams each time the event loop wakes.

The event loop's own datagram transport takes a tenth longer for each datagram
and keeps what the socket can't take. For packets that their senders repeat
anyway, dropping them is better than a queue that only grows older.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, Protocol

from pomelotrail_core.early_sockets import take_or_bind

_DATAGRAMS_PER_WAKE: Final = 32
_MAX_DATAGRAM_BYTES: Final = 65_535


class Hold(Protocol):
    """What can make a socket wait before it reads on."""

    def is_holding(self) -> bool:
        """Tell whether nothing must be read now."""

    def call_when_released(self, released: Callable[[], None]) -> None:
        """Call a function once reading may go on."""


class DatagramSocket(asyncio.DatagramTransport):
    """Reads datagrams for a protocol and sends without a queue."""

    def __init__(
        self,
        protocol: asyncio.DatagramProtocol,
        address: tuple[str, int],
        hold: Hold | None = None,
    ) -> None:
        """Bind to an address and give what arrives to the protocol.

        While ``hold`` is holding, datagrams stay in the kernel's buffer.
        """
        super().__init__()
        self._hold = hold
        self._protocol = protocol
        self._socket = take_or_bind(address)
        self._send = self._socket.sendto
        self._loop = asyncio.get_running_loop()
        self._unsent = 0
        self._resume()
        protocol.connection_made(self)

    @property
    def unsent(self) -> int:
        """Return the number of datagrams that the socket did not take."""
        return self._unsent

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the own address under ``sockname``."""
        return self._socket.getsockname() if name == "sockname" else default

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram, or count it when the socket can't take it now."""
        try:
            self._send(data, addr)
        except OSError:
            self._unsent += 1

    def is_closing(self) -> bool:
        """Tell whether the socket has been closed."""
        return self._socket.fileno() < 0

    def close(self) -> None:
        """Stop reading and close the socket."""
        if not self.is_closing():
            self._loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def abort(self) -> None:
        """Close at once, as ``close`` does."""
        self.close()

    def _resume(self) -> None:
        """Read from now on."""
        if not self.is_closing():
            self._loop.add_reader(self._socket.fileno(), self._read)

    def _read(self) -> None:
        """Give what has arrived to the protocol."""
        if self._hold is not None and self._hold.is_holding():
            self._loop.remove_reader(self._socket.fileno())
            self._hold.call_when_released(self._resume)
            return
        receive = self._socket.recvfrom
        received = self._protocol.datagram_received
        for _ in range(_DATAGRAMS_PER_WAKE):
            try:
                data, address = receive(_MAX_DATAGRAM_BYTES)
            except OSError:
                return
            received(data, address)
            if self.is_closing():
                return

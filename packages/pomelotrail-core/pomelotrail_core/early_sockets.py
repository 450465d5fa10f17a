"""Datagram sockets that are bound before the rest of a program is loaded.

Loading takes a process hundreds of milliseconds on a small VM. What arrives
meanwhile waits in the kernel's buffer instead of being lost, and is read as soon
as the program asks for a socket at the address::

    bind_early("192.0.2.7:8172")
    ...
    DatagramSocket(protocol, ("192.0.2.7", 8172))
"""

import socket
from typing import Final

# The kernel grants what its own limit allows.
RECEIVE_BUFFER_BYTES: Final = 4_194_304

_waiting: dict[tuple[str, int], socket.socket] = {}


def bind_early(address: str) -> None:
    """Bind ``host:port`` now, for a program that asks for it later."""
    host, _, port = address.rpartition(":")
    own = (host, int(port))
    _waiting[own] = bind_datagrams(own)


def take_or_bind(address: tuple[str, int]) -> socket.socket:
    """Return the socket that was bound early, or a new one."""
    return _waiting.pop(address, None) or bind_datagrams(address)


def bind_datagrams(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking socket that receives at an address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound

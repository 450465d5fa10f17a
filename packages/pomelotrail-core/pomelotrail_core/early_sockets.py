"""Datagram sockets that are bound before the rest of the program is loaded.

Loading the program takes hundreds of milliseconds on a small VM. Datagrams that arrive
during that time stay in the receive buffer of the kernel instead of being lost, and are
read when the program opens a socket at the same address::

    bind_early("192.0.2.7:8172")
    ...
    DatagramSocket(protocol, ("192.0.2.7", 8172))
"""

import socket
from typing import Final

# The kernel may grant less, up to its own limit.
RECEIVE_BUFFER_BYTES: Final = 4_194_304

_bound_early: dict[tuple[str, int], socket.socket] = {}


def bind_early(address: str) -> None:
    """Bind a socket to ``host:port`` for later use by the program."""
    host, _, port = address.rpartition(":")
    local = (host, int(port))
    _bound_early[local] = bind_datagrams(local)


def get_or_bind(address: tuple[str, int]) -> socket.socket:
    """Return the socket that was bound early to an address, or a new one."""
    return _bound_early.pop(address, None) or bind_datagrams(address)


def bind_datagrams(address: tuple[str, int]) -> socket.socket:
    """Return a non-blocking UDP socket that is bound to an address."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        bound.bind(address)
    except OSError:
        bound.close()
        raise
    return bound

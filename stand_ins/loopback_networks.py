"""Loopback networks that no other fleet on this machine uses."""

import socket
from typing import Final

# Second byte of the networks that fleets choose from.
_FIRST: Final = 20
_LAST: Final = 219
_GUARD_HOST: Final = "255.254"
_GUARD_PORT: Final = 9


class NetworkError(Exception):
    """No loopback network is free; end other fleets on this machine."""


class ClaimedNetwork:
    """A network such as 127.20.0.0/16, claimed by binding a guard address in it.

    Roles bind fixed ports, so fleets that run at the same time need addresses of their
    own::

        network = ClaimedNetwork()
        host = f"{network.prefix}.1.1"
        ...
        network.release()
    """

    def __init__(self) -> None:
        """Claim the first network that is free."""
        self._guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for number in range(_FIRST, _LAST + 1):
            self.prefix = f"127.{number}"
            try:
                self._guard.bind((f"{self.prefix}.{_GUARD_HOST}", _GUARD_PORT))
            except OSError:
                # Another fleet has this network.
                continue
            return
        self._guard.close()
        raise NetworkError("no loopback network is free; end other fleets")

    def release(self) -> None:
        """Let other fleets use the network."""
        self._guard.close()

"""How the answers of one flow reach their caller."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint

from .const import RETURN_PATH_TRUST

SendToCaller = Callable[[bytes, bytes, bytes], None]
LiveBalancers = Callable[[], Sequence[bytes]]


class ReturnPath(asyncio.DatagramTransport):
    """Sends the packets of one flow through a balancer that lives.

    The balancer that carried the caller's last packet is trusted for a short
    time. When nothing has come through it for longer, each packet takes the
    next balancer of the roster, since any balancer can return any packet.
    """

    def __init__(
        self, send: SendToCaller, live_balancers: LiveBalancers, clock: Clock
    ) -> None:
        """Send with ``send``, choosing among ``live_balancers`` when in doubt."""
        super().__init__()
        self._send = send
        self._live_balancers = live_balancers
        self._clock = clock
        self._balancer = b""
        self._heard_at = clock.monotonic()
        self._turn = 0

    def use(self, balancer: bytes) -> None:
        """Answer through the balancer that has just carried a packet."""
        self._balancer = balancer
        self._heard_at = self._clock.monotonic()

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send one packet to the caller at ``addr``."""
        self._send(data, Endpoint(*addr).pack(), self._choose())

    def _choose(self) -> bytes:
        """Return the balancer for the next packet."""
        if self._clock.monotonic() - self._heard_at < RETURN_PATH_TRUST:
            return self._balancer
        balancers = self._live_balancers()
        if not balancers:
            return self._balancer
        self._turn += 1
        return balancers[self._turn % len(balancers)]

"""Return path of a flow's packets to its caller."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint

from .const import RETURN_PATH_MAX_AGE

SendToCaller = Callable[[bytes, bytes, bytes], None]
LiveBalancers = Callable[[], Sequence[bytes]]


class ReturnPath(asyncio.DatagramTransport):
    """Sends the packets of one flow through a live balancer.

    The balancer that forwarded the caller's last packet is used for a short
    time. If no packet arrives for longer, each packet is sent through the next
    balancer of the roster, since any balancer can return any packet.
    """

    def __init__(
        self, send: SendToCaller, live_balancers: LiveBalancers, clock: Clock
    ) -> None:
        """Send with ``send``; rotate ``live_balancers`` when the path is stale."""
        super().__init__()
        self._send = send
        self._live_balancers = live_balancers
        self._clock = clock
        self._balancer = b""
        self._last_received_at = clock.monotonic()
        self._rotation = 0

    def record_balancer(self, balancer: bytes) -> None:
        """Record the balancer that forwarded the last packet."""
        self._balancer = balancer
        self._last_received_at = self._clock.monotonic()

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send one packet to the caller at ``addr``."""
        self._send(data, Endpoint(*addr).pack(), self._choose())

    def _choose(self) -> bytes:
        """Return the balancer for the next packet."""
        if self._clock.monotonic() - self._last_received_at < RETURN_PATH_MAX_AGE:
            return self._balancer
        balancers = self._live_balancers()
        if not balancers:
            return self._balancer
        self._rotation += 1
        return balancers[self._rotation % len(balancers)]

"""Packets that arrive before there is a configuration to serve by."""

from collections import deque
from datetime import timedelta

from pomelotrail_core.datagram_callback import Address

from .const import EARLY_PACKET_LIFETIME, MAX_EARLY_PACKETS


class EarlyPackets:
    """Holds the newest packets for as long as their senders may still wait.

    Load pattern answered: after a power loss, callers' openings arrive while the
    balancer reads its first list. Dropped, they would come again only with the
    next copy, up to 400 ms later.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._packets: deque[tuple[timedelta, bytes, Address]] = deque(
            maxlen=MAX_EARLY_PACKETS
        )

    def hold(self, data: bytes, sender: Address, now: timedelta) -> None:
        """Keep a packet."""
        self._packets.append((now, data, sender))

    def take(self, now: timedelta) -> list[tuple[bytes, Address]]:
        """Return the packets that are worth serving, and forget all."""
        fresh = [
            (data, sender)
            for arrived, data, sender in self._packets
            if now - arrived < EARLY_PACKET_LIFETIME
        ]
        self._packets.clear()
        return fresh

"""Buffer for packets that arrive before the first configuration."""

from collections import deque
from datetime import timedelta

from pomelotrail_core.datagram_callback import Address

from .const import EARLY_PACKET_LIFETIME, MAX_EARLY_PACKETS


class EarlyPackets:
    """Buffers the newest packets for as long as their senders may still wait.

    Handles this load pattern: after a power loss, opening packets arrive while the
    balancer loads its first configuration. Dropped packets would only arrive again
    with the next retransmission, up to 400 ms later.
    """

    def __init__(self) -> None:
        """Initialize an empty buffer."""
        self._packets: deque[tuple[timedelta, bytes, Address]] = deque(
            maxlen=MAX_EARLY_PACKETS
        )

    def add(self, data: bytes, sender: Address, now: timedelta) -> None:
        """Add a packet."""
        self._packets.append((now, data, sender))

    def pop_unexpired(self, now: timedelta) -> list[tuple[bytes, Address]]:
        """Return the packets that haven't expired, and clear the buffer."""
        unexpired = [
            (data, sender)
            for arrived, data, sender in self._packets
            if now - arrived < EARLY_PACKET_LIFETIME
        ]
        self._packets.clear()
        return unexpired

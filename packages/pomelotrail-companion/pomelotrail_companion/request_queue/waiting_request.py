"""A request that waits for a slot of the backend server."""

from datetime import timedelta

import msgspec

from pomelotrail_core.flows import Packet

from .const import ROUND_TRIP_TIME


class WaitingRequest(msgspec.Struct, eq=False):
    """Packets of a request that was not yet sent to the backend server.

    ``queued`` is when it was added to the queue. ``waited_before`` is how long the
    caller had waited until then.
    """

    flow: bytes
    queued: timedelta
    priority: int
    target: timedelta
    waited_before: timedelta = timedelta()
    packets: list[Packet] = msgspec.field(default_factory=list)

    @property
    def is_abandoned(self) -> bool:
        """Return whether the caller closed its side before any response."""
        return any(packet.finishes for packet in self.packets)

    def slack(self, now: timedelta, work: timedelta) -> timedelta:
        """Return how long the request may still wait and meet its target."""
        waited = now - self.queued + self.waited_before
        return self.target - waited - work - ROUND_TRIP_TIME

    def add(self, packet: Packet) -> None:
        """Add a packet, unless it is a retransmission of a waiting one."""
        known = {(other.sequence, other.size, other.finishes) for other in self.packets}
        if (packet.sequence, packet.size, packet.finishes) not in known:
            self.packets.append(packet)

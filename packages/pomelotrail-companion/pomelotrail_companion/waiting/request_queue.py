"""The requests that wait at one companion."""

from datetime import timedelta

import msgspec

from pomelotrail_core.flows import Packet

from .discipline import QueueDiscipline
from .work_estimate import WorkEstimate


class WaitingRequest(msgspec.Struct, eq=False):
    """The packets of a request that the backend server has not been given."""

    flow: bytes
    since: timedelta
    priority: int
    target: timedelta
    packets: list[Packet] = msgspec.field(default_factory=list)

    @property
    def is_abandoned(self) -> bool:
        """Tell whether the caller has closed its side before any answer."""
        return any(each.finishes for each in self.packets)

    def add(self, packet: Packet) -> None:
        """Add a packet, unless it is the repetition of one that waits."""
        known = {(each.sequence, each.size, each.finishes) for each in self.packets}
        if (packet.sequence, packet.size, packet.finishes) not in known:
            self.packets.append(packet)


class RequestQueue:
    """Holds requests until a slot is free::

    queue.add(flow, packet, since, priority, target)
    request = queue.take(now)
    """

    def __init__(self, discipline: QueueDiscipline, estimate: WorkEstimate) -> None:
        """Order requests by a discipline that knows how long work takes."""
        self._discipline = discipline
        self._estimate = estimate
        self._waiting: dict[bytes, WaitingRequest] = {}

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._waiting)

    def get(self, flow: bytes) -> WaitingRequest | None:
        """Return the waiting request of a flow."""
        return self._waiting.get(flow)

    def add(self, request: WaitingRequest) -> None:
        """Let a request wait."""
        self._waiting[request.flow] = request

    def remove(self, flow: bytes) -> WaitingRequest | None:
        """Return the request of a flow, which no longer waits."""
        return self._waiting.pop(flow, None)

    def take(self, now: timedelta) -> WaitingRequest | None:
        """Return the request to run next, which no longer waits."""
        if not self._waiting:
            return None
        chosen = self._discipline.choose(
            self._waiting.values(), now, self._estimate.value
        )
        del self._waiting[chosen.flow]
        return chosen

"""What a balancer believes of one companion and its backend server."""

from datetime import timedelta

import msgspec

from pomelotrail_core.directory import BackendServer

from .const import OPEN_FLOW_LOAD, TYPICAL_WORK

Address = tuple[str, int]


class CompanionView(msgspec.Struct, eq=False):
    """One companion, with the load that it last reported.

    ``offered`` counts the flows offered since that report.
    """

    server: BackendServer
    packets: Address
    fleet: Address
    label: int
    packed: bytes
    weight: float = 1.0
    occupancy: int = 0
    flows: int = 0
    offered: int = 0
    reported: timedelta | None = None
    is_suspect: bool = False

    def report(self, occupancy: int, flows: int, now: timedelta) -> None:
        """Take a report of the companion."""
        self.occupancy = occupancy
        self.flows = flows
        self.offered = 0
        self.reported = now
        self.is_suspect = False

    @property
    def slots(self) -> int:
        """Return how many requests the backend server works on at once."""
        return max(1, self.server.slots)

    def busy(self, now: timedelta) -> float:
        """Return the estimated number of requests, less what has been worked off."""
        if self.reported is None:
            return float(self.offered)
        done = (now - self.reported) / TYPICAL_WORK * self.slots
        return self.offered + max(0.0, self.occupancy - done)

    def load(self, now: timedelta) -> float:
        """Return the estimated load for each slot, open flows included."""
        return (self.busy(now) + self.flows * OPEN_FLOW_LOAD) / self.slots

"""State of a companion and its backend server as known to a balancer."""

from datetime import timedelta

import msgspec

from pomelotrail_core.directory import BackendServer
from pomelotrail_core.offers import LOWEST_COUNTED_PRIORITY

from .const import (
    INITIAL_WORK_ESTIMATE,
    MAX_REPORTED_REQUESTS,
    MAX_REPORTED_WAIT,
    MAX_REPORTED_WORK,
    MIN_ROUTE_SHARE,
    OPEN_FLOW_LOAD,
    ROUTE_REPORT_WEIGHT,
)

Address = tuple[str, int]

_MILLISECOND = timedelta(milliseconds=1)


class CompanionView(msgspec.Struct, eq=False):
    """A companion with the load that it last reported.

    ``offered_flows`` counts the flows offered since that report. ``work`` is the
    processing time of a request that the companion observed. ``free_at`` is when a slot
    is free for a flow that can meet its target, as last reported to flows of each
    priority. Until ``unsure_until``, the companion probably doesn't know all flows of
    its server. ``route_works`` has the processing times on routes in milliseconds and
    the share of recent reports each. ``concurrency`` is how many concurrent requests
    the server takes well; 0 if unknown.
    """

    server: BackendServer
    packets_address: Address
    fleet_address: Address
    label: int
    packed: bytes
    weight: float = 1.0
    occupancy: int = 0
    flows: int = 0
    offered_flows: int = 0
    reported_at: timedelta | None = None
    work: timedelta = INITIAL_WORK_ESTIMATE
    free_at: dict[int, timedelta] = msgspec.field(default_factory=dict)
    is_suspect: bool = False
    unsure_until: timedelta = timedelta()
    concurrency: int = 0
    route_works: dict[bytes, tuple[float, float]] = msgspec.field(default_factory=dict)

    def record_report(
        self,
        occupancy: int,
        flows: int,
        now: timedelta,
        work_ms: float = 0.0,
        concurrency: int = 0,
    ) -> None:
        """Record a load report of the companion."""
        if work := work_ms * _MILLISECOND:
            self.work = work
        self.concurrency = concurrency
        self.occupancy = occupancy
        self.flows = flows
        self.offered_flows = 0
        self.reported_at = now
        self.is_suspect = False

    def average_work_ms(self, route: bytes, work_ms: float) -> float:
        """Record the processing time on a route and return that of a usual request.

        The requests ahead of a flow are of all routes.
        """
        works = {
            other: (work, share * (1 - ROUTE_REPORT_WEIGHT))
            for other, (work, share) in self.route_works.items()
            if share > MIN_ROUTE_SHARE
        }
        share = works[route][1] if route in works else 0.0
        works[route] = (work_ms, share + ROUTE_REPORT_WEIGHT)
        self.route_works = works
        total = sum(share for _, share in works.values())
        return sum(work * share for work, share in works.values()) / total

    @property
    def slots(self) -> int:
        """Return the number of requests that the backend server runs concurrently."""
        slots = max(1, self.server.slots)
        return min(slots, self.concurrency) if self.concurrency else slots

    def estimated_requests(self, now: timedelta) -> float:
        """Return the estimated number of requests that are not completed yet."""
        if self.reported_at is None:
            return float(self.offered_flows)
        completed = (now - self.reported_at) / self.work * self.slots
        return self.offered_flows + max(0.0, self.occupancy - completed)

    def record_wait(self, wait: timedelta, priority: int, now: timedelta) -> None:
        """Record the wait that the companion reported to a flow of some priority."""
        self.free_at[min(priority, LOWEST_COUNTED_PRIORITY)] = now + wait

    def expected_wait(self, priority: int, now: timedelta) -> timedelta:
        """Return the expected wait for a slot of a flow that can meet its target.

        It is at least that of flows of a higher priority, which go first. Reports to
        flows of a lower priority tell nothing.
        """
        if not self.free_at:
            return self.estimated_requests(now) * self.work / self.slots
        rank, free_at = min(priority, LOWEST_COUNTED_PRIORITY), now
        for other, reported in self.free_at.items():
            if other <= rank and reported > free_at:
                free_at = reported
        return self.offered_flows * self.work / self.slots + (free_at - now)

    def load(self, now: timedelta) -> float:
        """Return the estimated load per slot, including open flows."""
        return (self.estimated_requests(now) + self.flows * OPEN_FLOW_LOAD) / self.slots


def is_plausible_report(
    occupancy: int,
    flows: int,
    work_ms: float,
    concurrency: int = 0,
    wait_ms: float = 0.0,
) -> bool:
    """Return whether a load report may be believed."""
    return (
        0 <= wait_ms <= MAX_REPORTED_WAIT / _MILLISECOND
        and 0 <= occupancy <= MAX_REPORTED_REQUESTS
        and 0 <= flows <= MAX_REPORTED_REQUESTS
        and 0 <= concurrency <= MAX_REPORTED_REQUESTS
        and 0 <= work_ms <= MAX_REPORTED_WORK / _MILLISECOND
    )

"""Decides whether this companion accepts a new flow or passes it on."""

from collections.abc import Sequence

from pomelotrail_companion.edge.flow_admission import FlowAdmission

from .const import CANDIDATE_SLACK, SHARE_SLACK
from .limit import ConcurrencyLimit
from .peer_loads import Load, PeerLoads


class ShareAdmission(FlowAdmission):
    """Passes flows on while the companion has more than its share of them.

    The share is the mean utilization of the peers times the companion's own
    capacity, which is the connections in proportion to the concurrency limit. So
    a cold backend server accepts few flows, and an empty warm one accepts all
    that it is offered until its utilization reaches the mean. Below its share, a
    companion still passes a flow on if a later candidate reported a clearly lower
    utilization. That candidate decides again by its own occupancy, so a stale
    report can't attract too many flows.
    """

    def __init__(
        self, connections: int, limit: ConcurrencyLimit, loads: PeerLoads
    ) -> None:
        """Accept up to ``connections`` flows, in proportion to the limit."""
        self._connections = connections
        self._limit = limit
        self._loads = loads

    def load(self, flow_count: int) -> Load:
        """Return the load to report to peers."""
        capacity = self._connections * self._limit.limit / self._limit.slots
        return Load(flow_count, capacity)

    def accepts_flow(self, flow_count: int, candidates: Sequence[bytes]) -> bool:
        """Return whether to accept a flow.

        It must fit, and be within the share or have no further candidate.
        """
        if flow_count >= self._connections:
            return False
        return not candidates or not self._is_above_share(flow_count, candidates)

    def _is_above_share(self, flow_count: int, candidates: Sequence[bytes]) -> bool:
        """Return whether the utilization exceeds the mean or that of a candidate."""
        own = self.load(flow_count)
        mean_utilization = self._loads.mean_utilization(own)
        if mean_utilization is None:
            return False
        if flow_count >= own.capacity * mean_utilization * (1 + SHARE_SLACK) + 1:
            return True
        lowest_utilization = self._loads.lowest_utilization(candidates)
        if lowest_utilization is None:
            return False
        return (
            flow_count >= own.capacity * lowest_utilization * (1 + CANDIDATE_SLACK) + 1
        )

"""Whether this companion takes a new flow or passes it on."""

from collections.abc import Sequence

from pomelotrail_companion.edge.flow_admission import FlowAdmission

from .const import CANDIDATE_SLACK, SHARE_SLACK
from .limit import ConcurrencyLimit
from .peer_loads import Load, PeerLoads


class ShareAdmission(FlowAdmission):
    """Passes flows on while it holds more than its share of them.

    The share follows from the mean use over the peers and the own capacity,
    which is the connections in proportion to the limit. So a cold backend
    server takes few flows and an empty warm one takes all that it is offered,
    until it has caught up. Below its share it still passes a flow on when it
    has heard that a later candidate has clearly less; that one decides again
    by its own occupancy, so an old report can't draw a crowd.
    """

    def __init__(
        self, connections: int, limit: ConcurrencyLimit, loads: PeerLoads
    ) -> None:
        """Take up to ``connections`` flows, in proportion to the limit."""
        self._connections = connections
        self._limit = limit
        self._loads = loads

    def load(self, flow_count: int) -> Load:
        """Return the load to tell to peers."""
        capacity = self._connections * self._limit.limit / self._limit.slots
        return Load(flow_count, capacity)

    def has_room(self, flow_count: int, candidates: Sequence[bytes]) -> bool:
        """Take the flow if it fits, and if it is due or nobody else is left."""
        if flow_count >= self._connections:
            return False
        return not candidates or not self._is_above_share(flow_count, candidates)

    def _is_above_share(self, flow_count: int, candidates: Sequence[bytes]) -> bool:
        """Compare this companion with the mean and with the next candidates."""
        own = self.load(flow_count)
        mean_use = self._loads.mean_use(own)
        if mean_use is None:
            return False
        if flow_count >= own.capacity * mean_use * (1 + SHARE_SLACK) + 1:
            return True
        least_use = self._loads.least_use(candidates)
        if least_use is None:
            return False
        return flow_count >= own.capacity * least_use * (1 + CANDIDATE_SLACK) + 1

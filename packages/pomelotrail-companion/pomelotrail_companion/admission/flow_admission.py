"""Whether this companion takes a new flow or passes it on."""

import abc
import enum
from collections.abc import Sequence

from .const import CANDIDATE_SLACK, SHARE_SLACK
from .limit import ConcurrencyLimit
from .peer_loads import Load, PeerLoads


class FlowVerdict(enum.Enum):
    """What becomes of a new flow."""

    TAKE = "take"
    PASS_ON = "pass on"
    REFUSE = "refuse"


class FlowAdmission(abc.ABC):
    """Decides on new flows from the occupancy of this companion."""

    @abc.abstractmethod
    def takes_new_flow(
        self, flow_count: int, candidates: Sequence[bytes]
    ) -> FlowVerdict:
        """Judge one more flow beside ``flow_count`` open ones.

        ``candidates`` are the packed addresses of the companions to which it
        can still be passed on, best first.
        """


class RoomAdmission(FlowAdmission):
    """Takes flows while there is room; the baseline to compare with."""

    def __init__(self, connections: int) -> None:
        """Take up to ``connections`` flows."""
        self._connections = connections

    def takes_new_flow(
        self, flow_count: int, candidates: Sequence[bytes]
    ) -> FlowVerdict:
        """Take the flow if it fits."""
        if flow_count < self._connections:
            return FlowVerdict.TAKE
        return FlowVerdict.PASS_ON if candidates else FlowVerdict.REFUSE


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

    def takes_new_flow(
        self, flow_count: int, candidates: Sequence[bytes]
    ) -> FlowVerdict:
        """Take the flow if it fits, and if it is due or nobody else is left."""
        if flow_count >= self._connections:
            return FlowVerdict.PASS_ON if candidates else FlowVerdict.REFUSE
        if not candidates or not self._is_above_share(flow_count, candidates):
            return FlowVerdict.TAKE
        return FlowVerdict.PASS_ON

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

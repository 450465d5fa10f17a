"""Interface for the admission of new flows."""

import abc
from collections.abc import Sequence


class FlowAdmission(abc.ABC):
    """Admits new flows based on the local state of the companion."""

    @abc.abstractmethod
    def accepts_flow(self, flow_count: int, candidates: Sequence[bytes]) -> bool:
        """Return True if a new flow is accepted in addition to ``flow_count`` flows.

        ``candidates`` are the packed addresses of the companions that the flow
        can be passed on to. If there are none, a flow that is not accepted is
        refused.
        """

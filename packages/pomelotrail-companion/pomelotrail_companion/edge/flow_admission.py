"""Whether a companion takes one more flow, as an interface."""

import abc
from collections.abc import Sequence


class FlowAdmission(abc.ABC):
    """Decides about new flows from what the companion sees itself."""

    @abc.abstractmethod
    def has_room(self, flow_count: int, candidates: Sequence[bytes]) -> bool:
        """Tell whether one more flow is welcome beside ``flow_count`` others.

        ``candidates`` are the packed addresses of the companions to which it
        could be passed on; without any, "no" is a refusal.
        """

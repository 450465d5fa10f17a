"""What this companion has heard of the load of its peers."""

from collections.abc import Sequence
from datetime import timedelta

import attrs

from pomelotrail_core.clock import Clock

from .const import LOAD_TRUST


@attrs.frozen
class Load:
    """The open flows of a companion, and how many it can carry now."""

    flows: int
    capacity: float

    @property
    def use(self) -> float:
        """Return the flows in relation to the capacity."""
        return self.flows / self.capacity


@attrs.frozen
class _HeardLoad:
    """A load with the monotonic time at which it was heard."""

    load: Load
    at: timedelta


class PeerLoads:
    """The latest load of each peer, trusted for ``LOAD_TRUST``.

    An old load does little harm: it only moves the mean with which a companion
    compares its own, exact load.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with nothing heard."""
        self._clock = clock
        self._heard: dict[bytes, _HeardLoad] = {}

    def hear(self, companion: bytes, load: Load) -> None:
        """Take over what the companion at a packed address says."""
        self._heard[companion] = _HeardLoad(load, self._clock.monotonic())

    def mean_use(self, own: Load) -> float | None:
        """Return flows per capacity over all; None when no peer was heard."""
        self._forget_old()
        if not self._heard:
            return None
        loads = [own, *(each.load for each in self._heard.values())]
        capacity = sum(load.capacity for load in loads)
        return sum(load.flows for load in loads) / capacity

    def least_use(self, companions: Sequence[bytes]) -> float | None:
        """Return the least use among some companions; None when none was heard."""
        self._forget_old()
        heard = [self._heard[each] for each in companions if each in self._heard]
        return min((each.load.use for each in heard), default=None)

    def _forget_old(self) -> None:
        """Forget peers that have been silent for long."""
        oldest = self._clock.monotonic() - LOAD_TRUST
        silent = [name for name, each in self._heard.items() if each.at < oldest]
        for name in silent:
            del self._heard[name]

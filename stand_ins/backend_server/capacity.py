"""Capacity of a warm or cold backend server."""

import attrs

COLD_SLOWDOWN_FACTOR = 4.0


@attrs.define
class Capacity:
    """Slots of a backend server, few and slow until it has warmed up.

    A cold server can run one request at a time, and one more for every ``warm_up``
    completed requests divided by its slots. ``overruns`` counts requests beyond its
    concurrency limit.
    """

    slots: int
    warm_up: int = 20
    completed: int = 0
    running: int = 0
    overruns: int = 0

    @property
    def concurrency_limit(self) -> int:
        """Return how many requests the server can run concurrently now."""
        if self.is_warm:
            return self.slots
        grown = self.completed * (self.slots - 1) // max(1, self.warm_up)
        return 1 + min(self.slots - 1, grown)

    @property
    def is_warm(self) -> bool:
        """Return whether the server has warmed up."""
        return self.completed >= self.warm_up

    def reset_to_cold(self) -> None:
        """Reset the server to cold."""
        self.completed = 0

    def start(self) -> bool:
        """Start a request; return False if it exceeds the concurrency limit."""
        self.running += 1
        if self.running <= self.concurrency_limit:
            return True
        self.overruns += 1
        return False

    def end(self, is_completed: bool) -> None:
        """End a request."""
        self.running -= 1
        if is_completed:
            self.completed += 1

    def slowdown(self) -> float:
        """Return the factor by which requests take longer now."""
        overload = max(1.0, self.running / self.concurrency_limit)
        return overload if self.is_warm else overload * COLD_SLOWDOWN_FACTOR

"""How much a backend server can carry, warm or cold."""

import attrs

COLD_SLOWDOWN = 4.0


@attrs.define
class Capacity:
    """Slots that are few and slow until enough work has been completed.

    A cold server carries one request at a time, and one more for every
    ``warm_up`` completed requests divided by its slots. ``overruns`` counts
    requests beyond what it can carry.
    """

    slots: int
    warm_up: int = 20
    completed: int = 0
    running: int = 0
    overruns: int = 0

    @property
    def carries(self) -> int:
        """Return how many requests the server can work on now."""
        if self.is_warm:
            return self.slots
        grown = self.completed * (self.slots - 1) // max(1, self.warm_up)
        return 1 + min(self.slots - 1, grown)

    @property
    def is_warm(self) -> bool:
        """Tell whether the server has warmed up."""
        return self.completed >= self.warm_up

    def turn_cold(self) -> None:
        """Start from cold again."""
        self.completed = 0

    def start(self) -> bool:
        """Start a request; False when the server can't carry it."""
        self.running += 1
        if self.running <= self.carries:
            return True
        self.overruns += 1
        return False

    def end(self, is_completed: bool) -> None:
        """End a request."""
        self.running -= 1
        if is_completed:
            self.completed += 1

    def slowdown(self) -> float:
        """Return the factor by which work takes longer now."""
        overload = max(1.0, self.running / self.carries)
        return overload if self.is_warm else overload * COLD_SLOWDOWN

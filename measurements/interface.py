"""Options and figures of a measurement."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import attrs

Figure: TypeAlias = float | int | str | list[float] | dict[str, float]
Figures: TypeAlias = dict[str, Figure]


@attrs.frozen
class MeasurementOptions:
    """Options of a measurement; ``quick`` limits it to 50 seconds."""

    seed: int
    quick: bool


Measurement: TypeAlias = Callable[[MeasurementOptions], Awaitable[Figures]]

"""What a measurement gets and gives."""

from collections.abc import Awaitable, Callable
from typing import TypeAlias

import attrs

Figure: TypeAlias = float | int | str | list[float] | dict[str, float]
Figures: TypeAlias = dict[str, Figure]


@attrs.frozen
class MeasurementOptions:
    """How a measurement runs; ``quick`` keeps it within 50 seconds."""

    seed: int
    quick: bool


Measurement: TypeAlias = Callable[[MeasurementOptions], Awaitable[Figures]]

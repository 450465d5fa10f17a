"""What admission decides and learns about a request."""

import enum
from datetime import timedelta

import attrs


class Decision(enum.Enum):
    """What becomes of a waiting request."""

    START = "start"
    REFUSE = "refuse"


class WorkResult(enum.Enum):
    """How the work on a request ended."""

    COMPLETED = "completed"
    ERRED = "erred"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class ClassFigures:
    """How one class fares: counts, and shares between 0 and 1."""

    name: str
    waiting: int
    running: int
    refused: int
    met_share: float
    target_share: float


@attrs.frozen
class Prediction:
    """How long a request would wait, and whether it would be in time."""

    wait: timedelta
    is_in_time: bool

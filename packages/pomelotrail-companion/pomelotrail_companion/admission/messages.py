"""Decisions, results and figures of admission control."""

import enum
from datetime import timedelta

import attrs


class Decision(enum.Enum):
    """The decision on a waiting request."""

    START = "start"
    REFUSE = "refuse"


class WorkResult(enum.Enum):
    """The result of the work on a request."""

    COMPLETED = "completed"
    ERRED = "erred"
    SHED = "shed"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class ClassFigures:
    """The figures of one class: counts, and shares between 0 and 1."""

    name: str
    waiting: int
    running: int
    refused: int
    met_share: float
    target_share: float


@attrs.frozen
class Prediction:
    """The predicted wait of a request and whether it would be in time."""

    wait: timedelta
    is_in_time: bool

"""Queue of requests that wait for a slot of the backend server."""

from .discipline import EarliestDeadlineFirst, OnTimeFirst, QueueDiscipline
from .learnt_concurrency import LearntConcurrency
from .request_queue import RequestQueue
from .route_work import RouteWork
from .waiting_request import WaitingRequest
from .work_estimate import WorkEstimate

__all__ = [
    "EarliestDeadlineFirst",
    "LearntConcurrency",
    "OnTimeFirst",
    "QueueDiscipline",
    "RequestQueue",
    "RouteWork",
    "WaitingRequest",
    "WorkEstimate",
]

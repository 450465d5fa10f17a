"""Queue of requests that wait for a slot of the backend server."""

from .discipline import OnTimeFirst, QueueDiscipline
from .request_queue import RequestQueue
from .route_work import RouteWork
from .waiting_request import WaitingRequest
from .work_estimate import WorkEstimate

__all__ = [
    "OnTimeFirst",
    "QueueDiscipline",
    "RequestQueue",
    "RouteWork",
    "WaitingRequest",
    "WorkEstimate",
]

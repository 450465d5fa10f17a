"""Queue of requests that wait for a slot of the backend server."""

from .discipline import EarliestDeadlineFirst, OnTimeFirst, QueueDiscipline
from .request_queue import RequestQueue
from .waiting_request import WaitingRequest
from .work_estimate import WorkEstimate

__all__ = [
    "EarliestDeadlineFirst",
    "OnTimeFirst",
    "QueueDiscipline",
    "RequestQueue",
    "WaitingRequest",
    "WorkEstimate",
]

"""Decides by the expected wait whether the backend server gets another flow."""

from .admission import AdmissionByWait, Decision
from .backlog import Backlog, NewFlow, QueuedWork
from .on_time_share import OnTimeShare

__all__ = [
    "AdmissionByWait",
    "Backlog",
    "Decision",
    "NewFlow",
    "OnTimeShare",
    "QueuedWork",
]

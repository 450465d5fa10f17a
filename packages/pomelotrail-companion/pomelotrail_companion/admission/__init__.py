"""Decides how much work the backend server gets, and in which order."""

from .gate import AdmissionGate
from .limit import AdaptiveLimit, ColdEvidence, ConcurrencyLimit, FixedLimit
from .order import ArrivalOrder, TargetOrder, WorkOrder
from .scheduler import Scheduler

__all__ = [
    "AdaptiveLimit",
    "AdmissionGate",
    "ArrivalOrder",
    "ColdEvidence",
    "ConcurrencyLimit",
    "FixedLimit",
    "Scheduler",
    "TargetOrder",
    "WorkOrder",
]

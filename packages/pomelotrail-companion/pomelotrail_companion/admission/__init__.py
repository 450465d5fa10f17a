"""Admission control: the concurrency limit and queue order of requests."""

from .flow_admission import ShareAdmission
from .gate import AdmissionGate
from .limit import AdaptiveLimit, ColdEvidence, ConcurrencyLimit, FixedLimit
from .load_exchange import LoadExchangeService
from .order import ArrivalOrder, TargetOrder, WorkOrder
from .scheduler import Scheduler

__all__ = [
    "AdaptiveLimit",
    "AdmissionGate",
    "ArrivalOrder",
    "ColdEvidence",
    "ConcurrencyLimit",
    "FixedLimit",
    "LoadExchangeService",
    "Scheduler",
    "ShareAdmission",
    "TargetOrder",
    "WorkOrder",
]

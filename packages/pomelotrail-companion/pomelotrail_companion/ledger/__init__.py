"""At-most-once execution of requests: ledger, retries and relay to other companions."""

from .grpc_peers import GrpcPeers
from .ledger import Ledger, LedgerLimits
from .relay_service import RelayService
from .run_once_components import RunOnceComponents
from .service_peers import ServicePeers

__all__ = [
    "GrpcPeers",
    "Ledger",
    "LedgerLimits",
    "RunOnceComponents",
    "RelayService",
    "ServicePeers",
]

"""Runs requests at most once: the ledger, retries and their relay."""

from .grpc_peers import GrpcPeers
from .ledger import Ledger, LedgerLimits
from .once import Once
from .relay_service import RelayService
from .service_peers import ServicePeers

__all__ = [
    "GrpcPeers",
    "Ledger",
    "LedgerLimits",
    "Once",
    "RelayService",
    "ServicePeers",
]

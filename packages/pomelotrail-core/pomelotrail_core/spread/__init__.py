"""Spreads configuration and suspicion through trees of peer streams."""

from .grpc_network import GrpcNetwork
from .network import PeerNetwork
from .process_spread import ProcessSpread
from .service import SpreadService
from .spreader import Spreader, VersionComparison

__all__ = [
    "GrpcNetwork",
    "PeerNetwork",
    "ProcessSpread",
    "SpreadService",
    "Spreader",
    "VersionComparison",
]

"""Spreads configuration and suspicion through trees of peer streams."""

from .grpc_network import GrpcNetwork
from .network import PeerNetwork
from .service import SpreadService
from .spreader import Spreader, VersionComparison

__all__ = [
    "GrpcNetwork",
    "PeerNetwork",
    "SpreadService",
    "Spreader",
    "VersionComparison",
]

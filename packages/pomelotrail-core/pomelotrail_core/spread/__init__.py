"""Distribute configuration and suspicion over trees of peer streams."""

from .grpc_network import GrpcNetwork
from .network import PeerNetwork
from .peer_check import PeerCheck
from .service import SpreadService
from .spreader import Spreader, VersionComparison

__all__ = [
    "GrpcNetwork",
    "PeerCheck",
    "PeerNetwork",
    "SpreadService",
    "Spreader",
    "VersionComparison",
]

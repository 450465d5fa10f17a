"""Stand-ins for the endpoints of flows and for the network between them."""

from .codec import CODEC, make_packet
from .endpoints import CallerHost, StandInCaller, StandInServer
from .network import LoopbackNetwork, MemoryNetwork, Network

__all__ = [
    "CODEC",
    "CallerHost",
    "LoopbackNetwork",
    "MemoryNetwork",
    "Network",
    "StandInCaller",
    "StandInServer",
    "make_packet",
]

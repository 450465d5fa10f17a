"""Route packets to companions: tokens, ranking and encapsulation."""

from pomelotrail_core.ranking import Ranking, RendezvousRanking

from .candidate import Candidate
from .encapsulation import Encapsulation, ForwardedPacket, ReturnedPacket
from .token import RoutingToken, TokenIssuer, TokenKeys, TokenReader

__all__ = [
    "Candidate",
    "Encapsulation",
    "ForwardedPacket",
    "Ranking",
    "RendezvousRanking",
    "ReturnedPacket",
    "RoutingToken",
    "TokenKeys",
    "TokenIssuer",
    "TokenReader",
]

"""Selection of the companion that is offered a new flow."""

from .by_slots import PlacementBySlots
from .companion_view import CompanionView, is_plausible_report
from .companions import Companions
from .policy import Choice, PlacementContext, PlacementPolicy, ShortestQueue
from .server_speeds import ServerSpeeds

__all__ = [
    "Choice",
    "CompanionView",
    "Companions",
    "PlacementBySlots",
    "PlacementPolicy",
    "ServerSpeeds",
    "ShortestQueue",
    "PlacementContext",
    "is_plausible_report",
]

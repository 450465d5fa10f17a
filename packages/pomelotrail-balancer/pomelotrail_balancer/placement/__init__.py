"""Selection of the companion that is offered a new flow."""

from .companion_view import CompanionView
from .companions import Companions
from .policy import Choice, PlacementContext, PlacementPolicy, ShortestQueue

__all__ = [
    "Choice",
    "CompanionView",
    "Companions",
    "PlacementPolicy",
    "ShortestQueue",
    "PlacementContext",
]

"""Draining and graceful shutdown of the companion."""

from .state import DrainingState, ServingState

__all__ = ["DrainingState", "ServingState"]

"""Whether the companion takes new flows and new requests, and how it ends."""

from .state import DrainingState, ServingState

__all__ = ["DrainingState", "ServingState"]

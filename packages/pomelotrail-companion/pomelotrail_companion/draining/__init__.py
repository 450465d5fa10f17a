"""Whether the companion takes new flows and new requests."""

from .state import DrainingState

__all__ = ["DrainingState"]

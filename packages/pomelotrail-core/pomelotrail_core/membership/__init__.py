"""Track the processes of the fleet and which of them accept new flows."""

from .roster import Roster

__all__ = ["Roster"]

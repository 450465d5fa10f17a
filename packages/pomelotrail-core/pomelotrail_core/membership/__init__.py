"""Which processes are there, and which of them may take new flows."""

from .roster import Roster

__all__ = ["Roster"]

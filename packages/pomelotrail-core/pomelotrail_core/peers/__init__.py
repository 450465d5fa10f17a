"""Control connections between the processes of the fleet."""

from .channel import open_channel
from .errors import PeerError
from .server import ControlServer

__all__ = ["ControlServer", "PeerError", "open_channel"]

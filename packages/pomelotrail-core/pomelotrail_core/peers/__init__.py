"""Control connections between the processes of the fleet."""

from .channel import open_channel
from .errors import PeerError
from .security import (
    PeerSecurity,
    install_security,
    load_security,
    set_up_operator_security,
    set_up_security,
)
from .server import ControlServer

__all__ = [
    "ControlServer",
    "PeerError",
    "PeerSecurity",
    "install_security",
    "load_security",
    "open_channel",
    "set_up_operator_security",
    "set_up_security",
]

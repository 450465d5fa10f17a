"""The caller edge: terminates flows and turns packets into requests."""

from .caller_edge import CallerEdge
from .drops import DropCounter
from .flow_admission import FlowAdmission
from .packet_router import PacketRouter
from .packet_socket import PacketSocket
from .pass_on import PassOnDecisions
from .quic_edge import QuicEdge

__all__ = [
    "CallerEdge",
    "DropCounter",
    "FlowAdmission",
    "PacketRouter",
    "PacketSocket",
    "PassOnDecisions",
    "QuicEdge",
]

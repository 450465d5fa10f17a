"""Assembles the caller edge of a companion."""

import attrs
from aioquic.quic.configuration import QuicConfiguration
from opentelemetry.metrics import Meter

from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.draining.orders import apply_state_to_edge
from pomelotrail_companion.requests import RequestHandler
from pomelotrail_core.clock import Clock
from pomelotrail_core.membership import Roster
from pomelotrail_core.routing import (
    Encapsulation,
    RoutingToken,
    TokenIssuer,
    TokenReader,
)
from pomelotrail_core.routing.version_watch import VersionGetter, VersionWatch
from pomelotrail_core.settings.process_settings import ProcessSettings
from pomelotrail_core.timeline import Recorder
from pomelotrail_core.timeline.throttle import EventThrottle

from .drops import DropCounter
from .flow_admission import FlowAdmission
from .packet_router import PacketRouter
from .packet_socket import PacketSocket
from .pass_on import PassOnDecisions
from .quic_edge import QuicEdge


@attrs.frozen
class EdgeContext:
    """Dependencies of the edge on the other parts of the companion."""

    process: ProcessSettings
    token: RoutingToken
    quic: QuicConfiguration
    handler: RequestHandler
    admission: FlowAdmission
    draining: DrainingState
    roster: Roster
    own_version: VersionGetter
    versions: VersionWatch
    clock: Clock
    recorder: Recorder
    meter: Meter


@attrs.frozen
class Edge:
    """The edge of a companion with the protocol of its packet socket."""

    flows: QuicEdge
    packets: PacketSocket

    @property
    def figures(self) -> dict[str, float]:
        """Return the figures for the process status."""
        return {
            "flows": float(self.flows.flow_count),
            "flows_moved": float(self.flows.moved_flow_count),
            "packets_received": float(self.packets.received),
        }


def build_edge(context: EdgeContext) -> Edge:
    """Return the edge of a companion; its packet socket is to be opened."""
    process = context.process
    events = EventThrottle(context.recorder, context.clock)
    drops = DropCounter(context.meter, events)
    packet_socket = PacketSocket(
        context.token.service_number,
        Encapsulation(process.fleet_key, process.accepted_fleet_keys),
        context.own_version,
        context.versions,
        drops,
        context.meter,
    )
    edge = QuicEdge(
        context.quic,
        TokenIssuer(process.token_keys, context.token),
        context.handler,
        packet_socket.return_to_caller,
        lambda: context.roster.packed_balancers,
        context.clock,
        context.recorder,
    )
    router = PacketRouter(
        context.token,
        TokenReader(process.token_keys),
        edge,
        context.draining,
        context.admission,
        PassOnDecisions(context.clock, context.roster.is_out),
        packet_socket,
        drops,
        events,
    )
    packet_socket.attach(router)
    apply_state_to_edge(context.draining, edge)
    return Edge(edge, packet_socket)

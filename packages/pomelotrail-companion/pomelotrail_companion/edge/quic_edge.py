"""The caller edge for HTTP/3 over QUIC (RFC 9000, RFC 9114)."""

from datetime import timedelta
from typing import Any, Final

from aioquic.buffer import Buffer
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import (
    QuicPacketType,
    encode_quic_version_negotiation,
    pull_quic_header,
)

from pomelotrail_companion.requests import RequestHandler
from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import ForwardedPacket, TokenIssuer
from pomelotrail_core.routing.const import TOKEN_BYTES
from pomelotrail_core.routing.quic_header import destination_connection_id
from pomelotrail_core.timeline import EventKind, Recorder

from .caller_edge import CallerEdge, PacketVerdict
from .const import (
    ALPN_HTTP3,
    HANDSHAKE_TIMEOUT,
    IDLE_TIMEOUT,
    MIN_OPENING_BYTES,
    RECEIVE_WINDOW_BYTES,
)
from .ending import is_idle_timeout, record_ending
from .flow import Flow
from .refusal import build_connection_refused
from .return_path import LiveBalancers, ReturnPath, SendToCaller
from .routable_connection import RoutableQuicConnection

_VERSION_NEGOTIATION: Final = 0


def quic_configuration(certificate: str, private_key: str) -> QuicConfiguration:
    """Return the QUIC settings of a companion with the given PEM files."""
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=list(ALPN_HTTP3),
        connection_id_length=TOKEN_BYTES,
        idle_timeout=IDLE_TIMEOUT.total_seconds(),
        max_stream_data=RECEIVE_WINDOW_BYTES,
    )
    configuration.load_cert_chain(certificate, private_key)
    return configuration


class QuicEdge(CallerEdge):
    """Terminates QUIC flows whose packets arrive through any balancer."""

    def __init__(
        self,
        configuration: QuicConfiguration,
        issuer: TokenIssuer,
        handler: RequestHandler,
        send: SendToCaller,
        live_balancers: LiveBalancers,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Serve requests with ``handler`` and send packets with ``send``."""
        self._configuration = configuration
        self._issuer = issuer
        self._handler = handler
        self._send = send
        self._live_balancers = live_balancers
        self._clock = clock
        self._recorder = recorder
        self._by_connection_id: dict[bytes, Flow] = {}
        self._connection_ids: dict[Flow, set[bytes]] = {}
        self._paths: dict[Flow, ReturnPath] = {}
        self._half_open: dict[Flow, timedelta] = {}
        self._closing: set[Flow] = set()
        self._is_leaving = False
        self._moved_flow_count = 0

    @property
    def flow_count(self) -> int:
        """Return the number of open flows."""
        return len(self._connection_ids)

    def handle_packet(self, packet: ForwardedPacket) -> PacketVerdict:
        """Handle the packet in its flow, or classify it if the flow is unknown."""
        connection_id = destination_connection_id(packet.payload)
        flow = self._by_connection_id.get(connection_id or b"")
        if flow is None:
            self._abandon_half_open()
            return self.classify(packet)
        self._receive(flow, packet)
        return PacketVerdict.HANDLED

    def classify(self, packet: ForwardedPacket) -> PacketVerdict:
        """Distinguish an opening packet from one of an unknown flow."""
        try:
            header = pull_quic_header(
                Buffer(data=packet.payload), host_cid_length=TOKEN_BYTES
            )
        except ValueError:
            return PacketVerdict.MALFORMED
        is_full_size = len(packet.payload) >= MIN_OPENING_BYTES
        if is_full_size and self._is_unknown_version(header):
            self._negotiate_version(header, packet)
            return PacketVerdict.HANDLED
        if header.packet_type == QuicPacketType.INITIAL and is_full_size:
            return PacketVerdict.OPENING
        return PacketVerdict.UNKNOWN

    def open_flow(self, packet: ForwardedPacket) -> bool:
        """Open a flow; return False if its Initial packet can't be decrypted."""
        connection_id = destination_connection_id(packet.payload)
        assert connection_id is not None
        connection = RoutableQuicConnection(
            issuer=self._issuer,
            configuration=self._configuration,
            original_destination_connection_id=connection_id,
        )
        flow = self._add_flow(connection, connection_id)
        self._receive(flow, packet)
        if not connection.is_opened:
            self._remove_flow(flow)
            flow.abandon()
            return False
        self._recorder.record(EventKind.FLOW_OPENED, flow=flow.name)
        return True

    def refuse(self, packet: ForwardedPacket) -> None:
        """Answer an Initial packet with CONNECTION_REFUSED without keeping state."""
        payload = build_connection_refused(packet.payload, self._issuer.issue())
        self._send(payload, packet.caller, packet.balancer)

    @property
    def busy_flow_count(self) -> int:
        """Return the number of flows with an incomplete answer."""
        return sum(not flow.is_idle for flow in self._connection_ids)

    @property
    def moved_flow_count(self) -> int:
        """Return the number of flows that callers closed after GOAWAY."""
        return self._moved_flow_count

    def announce_leaving(self) -> None:
        """Send GOAWAY on every flow; half-open flows get it after the handshake."""
        self._is_leaving = True
        for flow in self._connection_ids:
            if flow not in self._half_open:
                flow.announce_leaving()

    def resume(self) -> None:
        """Stop sending GOAWAY on new flows."""
        self._is_leaving = False

    def refuse_requests(self) -> None:
        """Send the GOAWAY with the first request that is not processed."""
        for flow in self._connection_ids:
            if flow not in self._half_open:
                flow.refuse_requests()

    def close_idle(self) -> None:
        """Close the flows whose answers are complete."""
        for flow in list(self._connection_ids):
            if flow.is_idle:
                self._close(flow, "leaving")

    def close_all(self, reason: str) -> None:
        """Close every flow and send the reason to its caller."""
        for flow in list(self._connection_ids):
            self._close(flow, reason)

    def _add_flow(
        self, connection: RoutableQuicConnection, connection_id: bytes
    ) -> Flow:
        """Create a flow and register its connection IDs."""
        flow = Flow(
            connection,
            connection_id.hex(),
            self._handler,
            self._clock,
            self._handle_established,
            self._handle_end,
        )
        path = ReturnPath(self._send, self._live_balancers, self._clock)
        flow.connection_made(path)
        self._paths[flow] = path
        self._connection_ids[flow] = set()
        self._half_open[flow] = self._clock.monotonic() + HANDSHAKE_TIMEOUT
        self._register(connection_id, flow)
        self._register(connection.host_cid, flow)
        flow._connection_id_issued_handler = lambda cid: self._register(cid, flow)
        flow._connection_id_retired_handler = lambda cid: self._retire(cid, flow)
        return flow

    def _is_unknown_version(self, header: Any) -> bool:
        """Return True if a long header has an unsupported version."""
        return header.version not in (
            None,
            _VERSION_NEGOTIATION,
            *self._configuration.supported_versions,
        )

    def _negotiate_version(self, header: Any, packet: ForwardedPacket) -> None:
        """Send the supported QUIC versions to the caller."""
        payload = encode_quic_version_negotiation(
            source_cid=header.destination_cid,
            destination_cid=header.source_cid,
            supported_versions=self._configuration.supported_versions,
        )
        self._send(payload, packet.caller, packet.balancer)

    def _receive(self, flow: Flow, packet: ForwardedPacket) -> None:
        """Handle a packet in its flow and answer through the same balancer."""
        self._paths[flow].record_balancer(packet.balancer)
        caller = Endpoint.unpack(packet.caller).socket_address
        flow.datagram_received(packet.payload, caller)

    def _handle_established(self, flow: Flow) -> None:
        """Handle the completed handshake of a flow."""
        self._half_open.pop(flow, None)
        if self._is_leaving:
            flow.announce_leaving()

    def _close(self, flow: Flow, reason: str) -> None:
        """Close a flow from this side."""
        self._closing.add(flow)
        flow.close_without_error(reason)

    def _abandon_half_open(self) -> None:
        """Abandon half-open flows after the handshake timeout.

        Their callers have continued with another companion.
        """
        now = self._clock.monotonic()
        while self._half_open:
            flow = next(iter(self._half_open))
            if self._half_open[flow] > now:
                return
            flow.abandon()

    def _register(self, connection_id: bytes, flow: Flow) -> None:
        """Register a connection ID for a flow."""
        self._by_connection_id[connection_id] = flow
        self._connection_ids[flow].add(connection_id)

    def _retire(self, connection_id: bytes, flow: Flow) -> None:
        """Remove a connection ID that the caller has retired."""
        self._by_connection_id.pop(connection_id, None)
        self._connection_ids[flow].discard(connection_id)

    def _handle_end(self, flow: Flow) -> None:
        """Remove and record a flow that has ended."""
        if flow not in self._connection_ids:
            return
        is_closed_here = flow in self._closing or is_idle_timeout(flow.termination)
        is_moved = flow.is_goaway_sent and not is_closed_here
        self._remove_flow(flow)
        self._moved_flow_count += is_moved
        record_ending(self._recorder, flow.name, flow.termination, is_moved)

    def _remove_flow(self, flow: Flow) -> None:
        """Remove all state of a flow."""
        for connection_id in self._connection_ids.pop(flow, ()):
            self._by_connection_id.pop(connection_id, None)
        self._paths.pop(flow, None)
        self._half_open.pop(flow, None)
        self._closing.discard(flow)

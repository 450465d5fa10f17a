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
from .ending import fell_silent, record_ending
from .flow import Flow
from .refusal import connection_refused
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
        mint: TokenIssuer,
        handler: RequestHandler,
        send: SendToCaller,
        live_balancers: LiveBalancers,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Serve requests with ``handler`` and send packets with ``send``."""
        self._configuration = configuration
        self._mint = mint
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
        self._moved = 0

    @property
    def flow_count(self) -> int:
        """Return the number of open flows."""
        return len(self._connection_ids)

    def offer(self, packet: ForwardedPacket) -> PacketVerdict:
        """Give the packet to its flow, or say what it is."""
        connection_id = destination_connection_id(packet.payload)
        flow = self._by_connection_id.get(connection_id or b"")
        if flow is None:
            self._give_up_half_open()
            return self.classify(packet)
        self._receive(flow, packet)
        return PacketVerdict.TAKEN

    def classify(self, packet: ForwardedPacket) -> PacketVerdict:
        """Tell an opening packet from one that nobody here knows."""
        try:
            header = pull_quic_header(
                Buffer(data=packet.payload), host_cid_length=TOKEN_BYTES
            )
        except ValueError:
            return PacketVerdict.MALFORMED
        is_whole = len(packet.payload) >= MIN_OPENING_BYTES
        if is_whole and self._is_unknown_version(header):
            self._negotiate_version(header, packet)
            return PacketVerdict.TAKEN
        if header.packet_type == QuicPacketType.INITIAL and is_whole:
            return PacketVerdict.OPENING
        return PacketVerdict.UNKNOWN

    def open_flow(self, packet: ForwardedPacket) -> bool:
        """Open a flow with an Initial packet; False if it can't be decrypted."""
        connection_id = destination_connection_id(packet.payload)
        assert connection_id is not None
        connection = RoutableQuicConnection(
            mint=self._mint,
            configuration=self._configuration,
            original_destination_connection_id=connection_id,
        )
        flow = self._add_flow(connection, connection_id)
        self._receive(flow, packet)
        if not connection.is_opened:
            self._forget(flow)
            flow.abandon()
            return False
        self._recorder.record(EventKind.FLOW_OPENED, flow=flow.name)
        return True

    def refuse(self, packet: ForwardedPacket) -> None:
        """Answer an Initial packet with CONNECTION_REFUSED, keeping nothing."""
        payload = connection_refused(packet.payload, self._mint.issue())
        self._send(payload, packet.caller, packet.balancer)

    @property
    def busy_flow_count(self) -> int:
        """Return the number of flows with an answer that is not whole yet."""
        return sum(not flow.is_idle for flow in self._connection_ids)

    @property
    def moved_flow_count(self) -> int:
        """Return the number of flows that callers closed after GOAWAY."""
        return self._moved

    def announce_leaving(self) -> None:
        """Send GOAWAY on every flow, and on those that are still opening."""
        self._is_leaving = True
        for flow in self._connection_ids:
            if flow not in self._half_open:
                flow.announce_leaving()

    def resume(self) -> None:
        """Keep the flows that open from now on."""
        self._is_leaving = False

    def refuse_requests(self) -> None:
        """Send the GOAWAY that names the first request not processed."""
        for flow in self._connection_ids:
            if flow not in self._half_open:
                flow.refuse_requests()

    def close_idle(self) -> None:
        """Close the flows whose answers are whole."""
        for flow in list(self._connection_ids):
            if flow.is_idle:
                self._close(flow, "leaving")

    def close_all(self, reason: str) -> None:
        """Close every flow, telling callers the reason."""
        for flow in list(self._connection_ids):
            self._close(flow, reason)

    def _add_flow(
        self, connection: RoutableQuicConnection, connection_id: bytes
    ) -> Flow:
        """Return a new flow that gets the packets of its connection."""
        flow = Flow(
            connection,
            connection_id.hex(),
            self._handler,
            self._clock,
            self._established,
            self._end,
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
        """Tell whether a long header has a version that is not served."""
        return header.version not in (
            None,
            _VERSION_NEGOTIATION,
            *self._configuration.supported_versions,
        )

    def _negotiate_version(self, header: Any, packet: ForwardedPacket) -> None:
        """Tell the caller which versions of QUIC are served."""
        payload = encode_quic_version_negotiation(
            source_cid=header.destination_cid,
            destination_cid=header.source_cid,
            supported_versions=self._configuration.supported_versions,
        )
        self._send(payload, packet.caller, packet.balancer)

    def _receive(self, flow: Flow, packet: ForwardedPacket) -> None:
        """Let a flow handle one packet and answer on the way it came."""
        self._paths[flow].use(packet.balancer)
        caller = Endpoint.unpack(packet.caller).socket_address
        flow.datagram_received(packet.payload, caller)

    def _established(self, flow: Flow) -> None:
        """Note that the handshake of a flow is complete."""
        self._half_open.pop(flow, None)
        if self._is_leaving:
            flow.announce_leaving()

    def _close(self, flow: Flow, reason: str) -> None:
        """Close a flow from this side."""
        self._closing.add(flow)
        flow.close_politely(reason)

    def _give_up_half_open(self) -> None:
        """Forget openings whose caller went on with another companion."""
        now = self._clock.monotonic()
        while self._half_open:
            flow = next(iter(self._half_open))
            if self._half_open[flow] > now:
                return
            flow.abandon()

    def _register(self, connection_id: bytes, flow: Flow) -> None:
        """Give packets with this connection ID to a flow."""
        self._by_connection_id[connection_id] = flow
        self._connection_ids[flow].add(connection_id)

    def _retire(self, connection_id: bytes, flow: Flow) -> None:
        """Forget a connection ID that the caller retired."""
        self._by_connection_id.pop(connection_id, None)
        self._connection_ids[flow].discard(connection_id)

    def _end(self, flow: Flow) -> None:
        """Forget a flow that has ended, and record it."""
        if flow not in self._connection_ids:
            return
        is_closed_here = flow in self._closing or fell_silent(flow.termination)
        is_moved = flow.is_announced and not is_closed_here
        self._forget(flow)
        self._moved += is_moved
        record_ending(self._recorder, flow.name, flow.termination, is_moved)

    def _forget(self, flow: Flow) -> None:
        """Drop all state of a flow."""
        for connection_id in self._connection_ids.pop(flow, ()):
            self._by_connection_id.pop(connection_id, None)
        self._paths.pop(flow, None)
        self._half_open.pop(flow, None)
        self._closing.discard(flow)

"""Builds the packet that refuses a QUIC connection before it is created."""

from typing import Final

from aioquic.buffer import Buffer
from aioquic.quic.crypto import CryptoPair
from aioquic.quic.packet import (
    QuicErrorCode,
    QuicFrameType,
    QuicPacketType,
    pull_quic_header,
)
from aioquic.quic.packet_builder import QuicPacketBuilder

from pomelotrail_core.routing.const import TOKEN_BYTES

_FRAME_BYTES: Final = 32
_DATAGRAM_BYTES: Final = 1200


def build_connection_refused(payload: bytes, host_connection_id: bytes) -> bytes:
    """Build an Initial packet that closes with CONNECTION_REFUSED.

    ``payload`` is the Initial packet of the caller (RFC 9000, 10.2.3). Its
    keys are derived from its connection ID, so no state is kept and no request of
    the caller is processed.
    """
    header = pull_quic_header(Buffer(data=payload), host_cid_length=TOKEN_BYTES)
    assert header.version is not None
    crypto = CryptoPair()
    crypto.setup_initial(
        cid=header.destination_cid, is_client=False, version=header.version
    )
    builder = QuicPacketBuilder(
        host_cid=host_connection_id,
        peer_cid=header.source_cid,
        version=header.version,
        is_client=False,
        max_datagram_size=_DATAGRAM_BYTES,
    )
    builder.start_packet(QuicPacketType.INITIAL, crypto)
    frame = builder.start_frame(QuicFrameType.TRANSPORT_CLOSE, capacity=_FRAME_BYTES)
    frame.push_uint_var(QuicErrorCode.CONNECTION_REFUSED)
    frame.push_uint_var(QuicFrameType.PADDING)
    frame.push_uint_var(0)
    datagrams, _ = builder.flush()
    return datagrams[0]

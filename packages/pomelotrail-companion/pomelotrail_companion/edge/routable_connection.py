"""QUIC connections whose connection IDs are routing tokens.

They also limit how much a caller may send ahead of a slow reader: ``aioquic``
grants flow control credit for a stream as data arrives, even if it is unread.

``aioquic`` generates random connection IDs and has no option to supply others,
so this class sets them on private attributes. The version of ``aioquic`` is
pinned, and a test covers every place where the library uses them.
"""

import os
from typing import Any

from aioquic.quic.connection import (
    QuicConnection,
    QuicConnectionId,
    QuicConnectionState,
)
from aioquic.quic.packet import QuicFrameType
from aioquic.quic.packet_builder import QuicPacketBuilder
from aioquic.quic.recovery import QuicPacketSpace
from aioquic.quic.stream import QuicStream

from pomelotrail_core.routing import TokenIssuer

from .const import (
    ISSUED_CONNECTION_IDS,
    MAX_STREAM_DATA_FRAME_BYTES,
    RECEIVE_WINDOW_BYTES,
    STATELESS_RESET_BYTES,
)


class RoutableQuicConnection(QuicConnection):
    """A server connection whose IDs identify this companion."""

    def __init__(self, *, issuer: TokenIssuer, **options: Any) -> None:
        """Initialize a connection with IDs from ``issuer``."""
        super().__init__(**options)
        self._issuer = issuer
        self._unread: dict[int, int] = {}
        first = issuer.issue()
        self._host_cids[0].cid = first
        self.host_cid = first
        self._local_initial_source_connection_id = first

    @property
    def is_opened(self) -> bool:
        """Return True if an Initial packet of the caller was decrypted."""
        return self._state is not QuicConnectionState.FIRSTFLIGHT

    def set_unread(self, stream_id: int, size: int) -> bool:
        """Set the number of received but unread bytes of a stream.

        Returns True if credit is due, which the next transmission grants.
        """
        if size:
            self._unread[stream_id] = size
        else:
            self._unread.pop(stream_id, None)
        stream = self._streams.get(stream_id)
        return stream is not None and self._due_credit(stream) is not None

    def _due_credit(self, stream: QuicStream) -> int | None:
        """Return the new limit of a stream if a frame is due, else None."""
        unread = self._unread.get(stream.stream_id, 0)
        limit = stream.receiver.highest_offset - unread + RECEIVE_WINDOW_BYTES
        is_due = limit - stream.max_stream_data_local >= RECEIVE_WINDOW_BYTES // 2
        return limit if is_due else None

    def _write_stream_limits(
        self, builder: QuicPacketBuilder, space: QuicPacketSpace, stream: QuicStream
    ) -> None:
        """Grant credit up to one window beyond the data that was read."""
        if not stream.max_stream_data_local:
            return
        stream.max_stream_data_local = (
            self._due_credit(stream) or stream.max_stream_data_local
        )
        if stream.max_stream_data_local_sent == stream.max_stream_data_local:
            return
        buffer = builder.start_frame(
            QuicFrameType.MAX_STREAM_DATA,
            capacity=MAX_STREAM_DATA_FRAME_BYTES,
            handler=self._on_max_stream_data_delivery,
            handler_args=(stream,),
        )
        buffer.push_uint_var(stream.stream_id)
        buffer.push_uint_var(stream.max_stream_data_local)
        stream.max_stream_data_local_sent = stream.max_stream_data_local

    def _replenish_connection_ids(self) -> None:
        """Issue further connection IDs, up to what the caller accepts."""
        limit = min(ISSUED_CONNECTION_IDS, self._remote_active_connection_id_limit)
        while len(self._host_cids) < limit:
            self._host_cids.append(
                QuicConnectionId(
                    cid=self._issuer.issue(),
                    sequence_number=self._host_cid_seq,
                    stateless_reset_token=os.urandom(STATELESS_RESET_BYTES),
                )
            )
            self._host_cid_seq += 1

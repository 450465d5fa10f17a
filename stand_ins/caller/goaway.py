"""Detection of GOAWAY frames (RFC 9114, 5.2), which ``aioquic`` ignores."""

from collections.abc import Callable

from aioquic.h3.connection import FrameType, H3Connection
from aioquic.quic.connection import QuicConnection


class GoawayConnection(H3Connection):
    """An HTTP/3 connection that calls a function on each GOAWAY frame."""

    def __init__(self, quic: QuicConnection, on_goaway: Callable[[], None]) -> None:
        """Initialize HTTP/3 on a QUIC connection."""
        self._on_goaway = on_goaway
        super().__init__(quic)

    def _check_control_frame_type(self, frame_type: int) -> None:
        """Check the type of a frame on the server's control stream."""
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self._on_goaway()

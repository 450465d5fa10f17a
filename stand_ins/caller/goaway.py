"""Notices GOAWAY frames (RFC 9114, 5.2), which ``aioquic`` passes over."""

from collections.abc import Callable

from aioquic.h3.connection import FrameType, H3Connection
from aioquic.quic.connection import QuicConnection


class GoawayConnection(H3Connection):
    """Calls a function when the server asks for the next connection."""

    def __init__(self, quic: QuicConnection, asked_to_go: Callable[[], None]) -> None:
        """Speak HTTP/3 on a connection."""
        self._asked_to_go = asked_to_go
        super().__init__(quic)

    def _check_control_frame_type(self, frame_type: int) -> None:
        """Look at each frame of the server's control stream."""
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self._asked_to_go()

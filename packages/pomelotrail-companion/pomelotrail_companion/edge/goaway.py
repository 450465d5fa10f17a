"""GOAWAY frames of HTTP/3 (RFC 9114, 5.2), which ``aioquic`` does not send."""

from typing import Final

from aioquic.buffer import encode_uint_var
from aioquic.h3.connection import FrameType, H3Connection, encode_frame
from aioquic.quic.connection import QuicConnection

MAX_REQUEST_STREAM_ID: Final = 2**62 - 4
_REQUEST_STREAM_STEP: Final = 4


def send_goaway(quic: QuicConnection, http: H3Connection, first_refused: int) -> None:
    """Announce that requests from stream ``first_refused`` on are not processed.

    With ``MAX_REQUEST_STREAM_ID`` all requests are still processed; the caller
    should open a new connection for further requests.
    """
    control_stream_id = http._local_control_stream_id
    assert control_stream_id is not None
    frame = encode_frame(FrameType.GOAWAY, encode_uint_var(first_refused))
    quic.send_stream_data(control_stream_id, frame)


def next_request_stream(latest: int | None) -> int:
    """Return the stream ID of the first request after ``latest``."""
    return 0 if latest is None else latest + _REQUEST_STREAM_STEP

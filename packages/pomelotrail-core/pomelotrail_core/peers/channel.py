"""Client side of control connections."""

from grpclib.client import Channel
from grpclib.config import Configuration

from pomelotrail_core.endpoint import Endpoint

from .security import installed_security


def open_channel(endpoint: Endpoint, *, window_bytes: int | None = None) -> Channel:
    """Return a channel to the control address of another process.

    ``window_bytes`` limits how much of a reply one call may buffer before the
    caller reads it; the default is that of the library.
    """
    configuration = None
    if window_bytes is not None:
        configuration = Configuration(http2_stream_window_size=window_bytes)
    security = installed_security().client
    return Channel(endpoint.host, endpoint.port, ssl=security, config=configuration)

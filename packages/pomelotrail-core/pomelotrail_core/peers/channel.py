"""Client side of control connections."""

from grpclib.client import Channel

from pomelotrail_core.endpoint import Endpoint

from .security import installed_security


def open_channel(endpoint: Endpoint) -> Channel:
    """Return a channel to the control address of another process."""
    return Channel(endpoint.host, endpoint.port, ssl=installed_security().client)

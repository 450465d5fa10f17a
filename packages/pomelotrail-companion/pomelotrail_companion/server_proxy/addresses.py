"""Addresses to which a companion sends."""

import msgspec

from pomelotrail_core.datagram_callback import Address


class ServerProxyAddresses(msgspec.Struct, frozen=True):
    """Destination addresses of the server proxy.

    Balancers receive messages on ``fleet_port`` and callers receive packets on
    ``callers_port``.
    """

    backend_server: Address
    fleet_port: int
    callers_port: int

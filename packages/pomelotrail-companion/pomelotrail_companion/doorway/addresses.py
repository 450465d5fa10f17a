"""Where a companion sends to."""

import msgspec

from pomelotrail_core.datagram_callback import Address


class DoorwayAddresses(msgspec.Struct, frozen=True):
    """Where the doorway sends to.

    ``fleet_port`` is where balancers take messages and ``callers_port`` where
    callers take packets.
    """

    backend_server: Address
    fleet_port: int
    callers_port: int

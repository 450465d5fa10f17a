"""The messages; each is one datagram on the fleet's own port.

They are ``msgspec`` structures, not ``attrs`` classes, because the codec of
that library writes its own structures as arrays without names: an offer has 20
bytes beside its packet.
"""

import enum

import msgspec


class Outcome(enum.IntEnum):
    """What a companion did with an offer."""

    ACCEPTED = 0
    BUSY = 1
    COLD = 2
    OTHER_SERVICE = 3
    REFUSED_BY_SERVER = 4
    SERVER_SILENT = 5


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """The base of all messages."""


class Offer(_Message, tag=1):
    """A balancer offers the opening packet of a flow.

    The companion takes it if fewer than ``limit`` requests are in progress at
    its backend server, which works on ``slots`` at once. ``cold_per_s`` is the
    number of flows per second that a cold backend server may be given, or None
    for a warm one. ``priority`` (0 is the highest) and ``target_ms``, the
    latency that operators aim at, order the flow's requests when they wait.
    ``unsettled_ms`` is how long entries that lapsed in an outage of the store may
    still come back; 0 without an outage. Companions pass it on to balancers that
    have just started.
    """

    number: int
    service: str
    limit: int
    slots: int
    cold_per_s: float | None
    priority: int
    target_ms: int
    packet: bytes
    unsettled_ms: int = 0


class OfferReply(_Message, tag=2):
    """What became of the offer, and the load of the backend server.

    ``occupancy`` counts requests in progress and flows about to send their
    first one, and more for requests that got no answer; ``flows`` counts all
    open flows.
    """

    number: int
    outcome: Outcome
    occupancy: int
    flows: int


class Owner(_Message, tag=3):
    """The sender's backend server holds the flow."""

    flow: bytes


class Lookup(_Message, tag=7):
    """A balancer asks which of some flows the receiver's backend server holds.

    ``server_started_ms`` is when that server started, by its entry; 0 if unknown.
    """

    number: int
    service: str
    flows: tuple[bytes, ...]
    unsettled_ms: int = 0
    server_started_ms: int = 0


class LookupReply(_Message, tag=8):
    """The answer to a lookup; flows are named by their place in the question.

    The sender's backend server holds those ``owned`` and may hold the ``unsure``
    ones: the sender started after flows that its server may hold, and only the server
    can tell, when it is given a packet. The sender is certain that its server holds
    none of the others. ``unsettled_ms`` is what balancers told the sender, less the
    time since.
    """

    number: int
    owned: tuple[int, ...]
    unsure: tuple[int, ...]
    unsettled_ms: int = 0


class LookupMiss(_Message, tag=4):
    """The sender's backend server doesn't hold the flow of a packet.

    The sender is certain: either it knows all flows that its server holds, or the
    server itself gave the packet back. ``packet`` is what was sent to the supposed
    owner of the flow; it is empty for a packet that was sent to find out.
    ``unsettled_ms`` is what balancers told the sender, less the time since.
    """

    flow: bytes
    packet: bytes
    unsettled_ms: int = 0


class Ping(_Message, tag=5):
    """A balancer asks whether a companion is back."""

    number: int


class Pong(_Message, tag=6):
    """The answer to a ping, with the load of the backend server."""

    number: int
    occupancy: int
    flows: int


FleetMessage = (
    Offer | OfferReply | Owner | Lookup | LookupReply | LookupMiss | Ping | Pong
)

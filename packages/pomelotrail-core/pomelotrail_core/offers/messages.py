"""Messages between balancers and companions, one per datagram on the fleet port.

They are ``msgspec`` structures instead of ``attrs`` classes because the codec of
``msgspec`` encodes its structures as arrays without field names: an offer takes 20
bytes in addition to its packet. Offers and lookups with a value that operators and
servers can't have set are malformed.
"""

import enum
from typing import Annotated

import msgspec

from .const import MAX_COUNT, MAX_DURATION_MS, MISSING_ENTRY_GRACE_MS

_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Rate = Annotated[float, msgspec.Meta(ge=0, le=MAX_COUNT)]
_DurationMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
_GraceMs = Annotated[int, msgspec.Meta(ge=0, le=MISSING_ENTRY_GRACE_MS)]
_Era = Annotated[int, msgspec.Meta(ge=0)]


class Outcome(enum.IntEnum):
    """The result of an offer."""

    ACCEPTED = 0
    BUSY = 1
    COLD = 2
    OTHER_SERVICE = 3
    REFUSED_BY_SERVER = 4
    SERVER_SILENT = 5


class _Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages."""


class Offer(_Message, tag=1):
    """Offer of a balancer to assign the opening packet of a flow.

    The companion accepts it if fewer than ``limit`` requests are in progress at its
    backend server, which processes ``slots`` concurrently. ``cold_per_s`` is the
    number of flows per second that a cold backend server may be assigned, or None for
    a warm one. ``priority`` (0 is the highest) and ``target_ms``, the target latency
    set by operators, order the requests of the flow in the queue. ``unsettled_ms`` is
    the remaining grace period of entries that went missing in an outage of the store;
    0 without an outage. Companions forward it to balancers that have just started.
    ``era`` is that of the store which the balancer last read; 0 if unknown.
    ``reserved`` keeps the place of a number that earlier versions expect.
    ``start_per_s`` is the rate of ``cold_per_s`` for a server that the balancer takes
    for warm, in case that it has started again; None if operators set none.

    ``age_ms`` is the time since the caller first sent the opening packet, or None if it
    doesn't matter. With ``max_wait_ms``, the expected wait decides instead of
    ``limit``: the flow is accepted if it can meet its target, or else if it would wait
    for at most this time behind all others.
    """

    number: int
    service: str
    limit: _Count
    slots: _Count
    cold_per_s: _Rate | None
    priority: _Count
    target_ms: _DurationMs
    packet: bytes
    unsettled_ms: _GraceMs = 0
    era: _Era = 0
    reserved: int = 0
    start_per_s: _Rate | None = None
    age_ms: _DurationMs | None = None
    max_wait_ms: _DurationMs | None = None


class OfferReply(_Message, tag=2):
    """Reply to an offer, with the load of the backend server.

    ``occupancy`` counts requests in progress and flows about to send their first one,
    plus an extra weight for unanswered requests; ``flows`` counts all open flows.
    ``work_ms`` is the observed processing time of a request; 0 if none was observed.
    ``concurrency`` is the learnt number of concurrent requests beyond which the server
    answers later rather than more; 0 if it hasn't been learnt. For a server with one
    slot it is 1 if ``work_ms`` is that of recent requests of the offer's route, and 0
    if it is that of all routes because there were too few. ``wait_ms`` is the expected
    time until a slot is free for another flow of the offered priority that can meet its
    target; None if the offer had no age.
    """

    number: int
    outcome: Outcome
    occupancy: int
    flows: int
    work_ms: float = 0.0
    concurrency: int = 0
    wait_ms: float | None = None


class Owner(_Message, tag=3):
    """Notification that the sender's backend server owns the flow."""

    flow: bytes


class Lookup(_Message, tag=7):
    """Query of a balancer for the flows that the receiver's backend server owns.

    ``unsettled_ms`` and ``era`` are those of an offer. ``reserved`` keeps the place of
    a number that earlier versions expect; 0 means unknown to them.
    """

    number: int
    service: str
    flows: tuple[bytes, ...]
    unsettled_ms: _GraceMs = 0
    reserved: int = 0
    era: _Era = 0


class ShortLookupReply(_Message, tag=8):
    """Reply to a lookup without openings, read as ``LookupReply``.

    It is a byte shorter: after a power loss, balancers get thousands of replies.
    """

    number: int
    owned: tuple[int, ...]
    unsure: tuple[int, ...]
    unsettled_ms: int = 0
    served: tuple[int, ...] = ()


class LookupReply(ShortLookupReply, tag=8):
    """Reply to a lookup; flows are identified by their index in the lookup.

    The sender's backend server owns the ``owned`` flows and may own the ``unsure``
    ones: the sender started after these flows may have been opened, so only the server
    can determine it, when it receives a packet. The server certainly owns none of the
    others. Of the unsure ones, the sender has flows of the addresses of ``served``, and
    its server has accepted the opening of ``accepted``: only the caller's packet shows
    whether it acknowledges this server's acceptance. ``unsettled_ms`` is the value that
    balancers sent to the sender, minus the time since then.
    """

    accepted: tuple[int, ...] = ()


class LookupMiss(_Message, tag=4):
    """Notification that the sender's backend server doesn't own the flow of a packet.

    This is certain: either the sender tracks all flows that its server owns, or the
    server itself returned the packet. ``packet`` is what was sent to the presumed owner
    of the flow; it is empty for a packet that was sent as a lookup. ``unsettled_ms`` is
    the value that balancers sent to the sender, minus the time since then.
    """

    flow: bytes
    packet: bytes
    unsettled_ms: int = 0


class ProbeRequest(_Message, tag=9):
    """Request of a balancer to probe several backend servers with the same packet.

    The receiver sends the packet to the companions at ``addresses``, and they reply to
    ``balancer``; all are packed addresses of fleet ports. On the link of the balancer,
    one message takes the place of one for each server. If ``collects_denials`` is set,
    the balancer understands ``CollectedDenials``, so that this holds for replies too.
    """

    packet: bytes
    balancer: bytes
    addresses: tuple[bytes, ...]
    collects_denials: bool = False


class Probe(_Message, tag=10):
    """A packet that a companion sends on behalf of a balancer, to probe a server.

    Replies go to ``balancer``, the packed address of its fleet port. A denial goes to
    the sender if ``collects_denials`` is set.
    """

    packet: bytes
    balancer: bytes
    collects_denials: bool = False


class CollectedDenials(_Message, tag=11):
    """Denials of one flow by the companions at ``addresses``, in place of one of each.

    ``unsettled_ms`` is the largest value of all of them.
    """

    flow: bytes
    addresses: tuple[bytes, ...]
    unsettled_ms: int = 0


class Ping(_Message, tag=5):
    """Probe of a balancer for a companion that was unreachable."""

    number: int


class Pong(_Message, tag=6):
    """Reply to a ping, with the load of the backend server, as in an offer reply."""

    number: int
    occupancy: int
    flows: int
    work_ms: float = 0.0
    concurrency: int = 0


FleetMessage = (
    Offer
    | OfferReply
    | Owner
    | Lookup
    | LookupReply
    | LookupMiss
    | ProbeRequest
    | Probe
    | CollectedDenials
    | Ping
    | Pong
)

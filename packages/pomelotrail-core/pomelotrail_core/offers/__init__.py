"""Messages between balancers and companions about flows and their owners."""

from .codec import decode, encode, service_label
from .const import (
    LOWEST_COUNTED_PRIORITY,
    MAX_PROBES_PER_REQUEST,
    MISSING_ENTRY_GRACE,
)
from .messages import (
    CollectedDenials,
    FleetMessage,
    Lookup,
    LookupMiss,
    LookupReply,
    Offer,
    OfferReply,
    Outcome,
    Owner,
    Ping,
    Pong,
    Probe,
    ProbeRequest,
    ShortLookupReply,
)

__all__ = [
    "LOWEST_COUNTED_PRIORITY",
    "MAX_PROBES_PER_REQUEST",
    "MISSING_ENTRY_GRACE",
    "CollectedDenials",
    "FleetMessage",
    "Lookup",
    "LookupMiss",
    "LookupReply",
    "Offer",
    "OfferReply",
    "Outcome",
    "Owner",
    "Ping",
    "Pong",
    "Probe",
    "ProbeRequest",
    "ShortLookupReply",
    "decode",
    "encode",
    "service_label",
]

"""Messages between balancers and companions about flows and their owners."""

from .codec import decode, encode, service_label
from .messages import (
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
)

__all__ = [
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
    "decode",
    "encode",
    "service_label",
]

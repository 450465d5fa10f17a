"""Reasons for dropping a packet."""

import enum


class DropReason(enum.Enum):
    """Reasons, with their values in metrics and the timeline."""

    MALFORMED = "malformed"
    UNKNOWN_OWNER = "unknown owner"
    OTHER_SERVICE = "other service"
    ZONE_OUT = "zone out"
    NO_CANDIDATE = "no candidate"

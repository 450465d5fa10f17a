"""Why a balancer drops a packet."""

import enum


class DropReason(enum.Enum):
    """The reasons, as they stand in metrics and on the time line."""

    MALFORMED = "malformed"
    UNKNOWN_OWNER = "unknown owner"
    OTHER_SERVICE = "other service"
    ZONE_OUT = "zone out"
    NO_CANDIDATE = "no candidate"

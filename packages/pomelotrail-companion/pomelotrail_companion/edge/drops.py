"""Counts dropped packets by reason."""

import enum
from collections import Counter

from opentelemetry.metrics import Meter

from pomelotrail_core.routing.errors import EncapsulationError
from pomelotrail_core.timeline import EventKind
from pomelotrail_core.timeline.throttle import EventThrottle


class DropReason(enum.Enum):
    """Reason for dropping a packet, as written to metrics and the timeline."""

    TRUNCATED = "truncated"
    FORMAT = "unknown format"
    MAC = "wrong fleet key or forged"
    MALFORMED = "malformed packet of a caller"
    OTHER_SERVICE = "other service"
    OTHER_COMPANION = "token of another companion"
    OTHER_INCARNATION = "token of an earlier incarnation"
    ENDED_FLOW = "flow has ended"
    UNRECOGNISED = "nobody recognises the flow"
    ZONE_OUT = "availability zone is out"
    NOT_READY = "not ready"


_ENCAPSULATION_REASONS = {
    EncapsulationError.TRUNCATED: DropReason.TRUNCATED,
    EncapsulationError.FORMAT: DropReason.FORMAT,
    EncapsulationError.MAC: DropReason.MAC,
}


def encapsulation_reason(error: EncapsulationError) -> DropReason:
    """Return the drop reason for a datagram that can't be decoded."""
    return _ENCAPSULATION_REASONS[error]


class DropCounter:
    """Counts dropped packets and records a bounded number on the timeline."""

    def __init__(self, meter: Meter, events: EventThrottle) -> None:
        """Initialize the counter."""
        self._counter = meter.create_counter("dropped_packets")
        self._events = events
        self._counts: Counter[DropReason] = Counter()

    @property
    def counts(self) -> dict[DropReason, int]:
        """Return the number of dropped packets by reason."""
        return dict(self._counts)

    def add(self, reason: DropReason) -> None:
        """Count one dropped packet."""
        self._counts[reason] += 1
        self._counter.add(1, {"reason": reason.value})
        is_zone_out = reason is DropReason.ZONE_OUT
        cause = self._events.latest(EventKind.ZONE_OUT) if is_zone_out else ""
        self._events.record(EventKind.PACKET_DROPPED, cause=cause, detail=reason.value)

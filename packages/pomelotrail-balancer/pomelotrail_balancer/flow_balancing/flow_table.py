"""Cache of the flows whose owner is known."""

import asyncio
from collections import OrderedDict
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import CompanionView

from .const import FLOW_IDLE_TIMEOUT, MAX_FLOWS


class FlowRecord(msgspec.Struct, eq=False):
    """Cached state of one flow.

    ``accepted_by`` lists the companions that accepted its opening packet, and
    ``accepted_at`` is when the last of them did. ``owner`` is set when only one
    has accepted or when the owner has confirmed the flow.
    """

    flow: bytes
    last_used: timedelta
    owner: CompanionView | None = None
    accepted_by: list[CompanionView] = msgspec.field(default_factory=list)
    accepted_at: timedelta | None = None
    placement_task: asyncio.Task | None = None

    def assign(self, owner: CompanionView) -> None:
        """Record the companion that confirmed that it owns the flow."""
        self.owner = owner
        self.accepted_by = [owner]


class FlowTable:
    """Flow records in order of their last use, the most recent last."""

    def __init__(self) -> None:
        """Initialize an empty table."""
        self._records: OrderedDict[bytes, FlowRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._records)

    def get(self, flow: bytes, now: timedelta) -> FlowRecord | None:
        """Return the record of a flow and update its last use."""
        record = self._records.get(flow)
        if record is not None:
            record.last_used = now
            self._records.move_to_end(flow)
        return record

    def add(self, flow: bytes, now: timedelta) -> FlowRecord:
        """Add a record, evicting idle ones and those over the limit."""
        self._evict_idle(now)
        record = FlowRecord(flow, now)
        self._records[flow] = record
        return record

    def remove(self, flow: bytes) -> None:
        """Remove a flow."""
        self._records.pop(flow, None)

    def _evict_idle(self, now: timedelta) -> None:
        """Evict the least recently used records that are idle or over the limit."""
        while self._records:
            oldest = next(iter(self._records.values()))
            if (
                now - oldest.last_used < FLOW_IDLE_TIMEOUT
                and len(self._records) < MAX_FLOWS
            ):
                return
            del self._records[oldest.flow]

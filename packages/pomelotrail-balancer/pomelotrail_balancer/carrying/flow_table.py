"""The flows whose owner this balancer has learnt; a cache and nothing more."""

import asyncio
from collections import OrderedDict
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import CompanionView

from .const import IDLE_FLOW, MAX_FLOWS


class FlowRecord(msgspec.Struct, eq=False):
    """What this balancer knows of one flow.

    ``takers`` accepted its opening; ``owner`` is known once it is the only one
    or has said so; ``taken`` is when the last of them did.
    """

    flow: bytes
    used: timedelta
    owner: CompanionView | None = None
    takers: list[CompanionView] = msgspec.field(default_factory=list)
    taken: timedelta | None = None
    opening: asyncio.Task | None = None

    def assign(self, owner: CompanionView) -> None:
        """Note the companion that said that it holds the flow."""
        self.owner = owner
        self.takers = [owner]


class FlowTable:
    """Records by flow, the one used last at the end."""

    def __init__(self) -> None:
        """Start empty."""
        self._records: OrderedDict[bytes, FlowRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._records)

    def get(self, flow: bytes, now: timedelta) -> FlowRecord | None:
        """Return the record of a flow, noting that it is in use."""
        record = self._records.get(flow)
        if record is not None:
            record.used = now
            self._records.move_to_end(flow)
        return record

    def add(self, flow: bytes, now: timedelta) -> FlowRecord:
        """Return a new record, dropping those that are idle or too many."""
        self._drop_idle(now)
        record = FlowRecord(flow, now)
        self._records[flow] = record
        return record

    def remove(self, flow: bytes) -> None:
        """Forget a flow."""
        self._records.pop(flow, None)

    def _drop_idle(self, now: timedelta) -> None:
        """Drop the records at the front that are idle or over the bound."""
        while self._records:
            oldest = next(iter(self._records.values()))
            if now - oldest.used < IDLE_FLOW and len(self._records) < MAX_FLOWS:
                return
            del self._records[oldest.flow]

"""Probes that a companion sends to others on behalf of a balancer."""

import asyncio
from datetime import timedelta

import msgspec

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.endpoint import pack_address, unpack_address
from pomelotrail_core.offers import (
    CollectedDenials,
    LookupMiss,
    Probe,
    ProbeRequest,
    encode,
)

from .const import DENIAL_COLLECTION_TIME, DENIAL_RETENTION, MAX_DENIAL_COLLECTIONS


class _Collection(msgspec.Struct, eq=False):
    """Denials of one flow; ``awaited`` has the companions that haven't replied."""

    flow: bytes
    balancer: Address
    began: timedelta
    awaited: set[bytes]
    denied: list[bytes] = msgspec.field(default_factory=list)
    unsettled_ms: int = 0
    is_overdue: bool = False


class ProbeRelay:
    """Sends a balancer's packet to companions, and collects their denials.

    Handles this load pattern: after a power loss, each server must deny each open flow.
    One message for all denials of a flow saves the link and the processor of a small
    balancer::

        relay.send(request, flow)
        relay.record_denial(miss, sender)

    A companion that owns the flow replies to the balancer itself.
    """

    def __init__(
        self, clock: Clock, counters: Counters, send_message: SendDatagram
    ) -> None:
        """Send probes and denials with the given function."""
        self._clock = clock
        self._counters = counters
        self._send_message = send_message
        self._collections: dict[bytes, _Collection] = {}

    def send(self, request: ProbeRequest, flow: bytes) -> None:
        """Send the packet of a request, which belongs to the flow."""
        collects = request.collects_denials and self._collect(request, flow)
        message = encode(Probe(request.packet, request.balancer, collects))
        for address in request.addresses:
            self._send_message(message, unpack_address(address))
        self._counters.add("probes_relayed", len(request.addresses))

    def record_denial(self, miss: LookupMiss, sender: Address) -> None:
        """Record the denial of a companion that got a probe."""
        collection = self._collections.get(miss.flow)
        address = pack_address(sender)
        if collection is None or address not in collection.awaited:
            return
        collection.awaited.remove(address)
        collection.denied.append(address)
        collection.unsettled_ms = max(collection.unsettled_ms, miss.unsettled_ms)
        if not collection.awaited:
            del self._collections[miss.flow]
        if not collection.awaited or collection.is_overdue:
            self._report(collection)

    def sweep(self, now: timedelta) -> None:
        """Drop collections whose balancer has repeated its probes by now."""
        for flow, collection in list(self._collections.items()):
            if now - collection.began >= DENIAL_RETENTION:
                del self._collections[flow]

    def _collect(self, request: ProbeRequest, flow: bytes) -> bool:
        """Start to collect denials, unless there are too many flows."""
        known = self._collections.pop(flow, None)
        if known is not None:
            self._report(known)
        if len(self._collections) >= MAX_DENIAL_COLLECTIONS:
            return False
        collection = _Collection(
            flow,
            unpack_address(request.balancer),
            self._clock.monotonic(),
            set(request.addresses),
        )
        self._collections[flow] = collection
        delay = DENIAL_COLLECTION_TIME.total_seconds()
        asyncio.get_running_loop().call_later(delay, self._end_wait, collection)
        return True

    def _end_wait(self, collection: _Collection) -> None:
        """Report what was collected; further denials are reported one by one."""
        collection.is_overdue = True
        self._report(collection)

    def _report(self, collection: _Collection) -> None:
        """Send the collected denials to the balancer."""
        if not collection.denied:
            return
        denials = CollectedDenials(
            collection.flow, tuple(collection.denied), collection.unsettled_ms
        )
        collection.denied = []
        self._send_message(encode(denials), collection.balancer)

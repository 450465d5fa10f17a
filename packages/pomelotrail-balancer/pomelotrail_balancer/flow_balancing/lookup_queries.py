"""Lookup queries to companions, each for many flows."""

import itertools
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import CompanionView
from pomelotrail_core.clock import Clock
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.directory import Directory
from pomelotrail_core.offers import Lookup, LookupReply, encode

from .const import (
    FLOWS_PER_MESSAGE_UNIT,
    MAX_FLOWS_PER_QUERY,
    MILLISECOND,
    QUERY_LIFETIME,
)


class LookupQuery(msgspec.Struct, frozen=True):
    """Query to a companion; ``identity`` is its server when it was sent."""

    companion: CompanionView
    identity: str
    flows: tuple[bytes, ...]
    sent_at: timedelta


class LookupQueries:
    """Batches the flows to look up per companion.

    Handles this load pattern: after a power loss every open flow is looked up at
    every companion. The number of messages then grows with the number of companions
    instead of flows::

        queries.add(flow, companion)
        queries.send()
    """

    def __init__(self, directory: Directory, clock: Clock, send: SendDatagram) -> None:
        """Send queries with the given function."""
        self._directory = directory
        self._clock = clock
        self._send = send
        self._numbers = itertools.count(1)
        self._queued: dict[str, tuple[CompanionView, list[bytes]]] = {}
        self._sent: dict[int, LookupQuery] = {}

    def add(self, flow: bytes, companion: CompanionView) -> None:
        """Add a flow to the next query to a companion."""
        identity = companion.server.identity
        entry = self._queued.get(identity)
        if entry is None:
            entry = self._queued[identity] = (companion, [])
        entry[1].append(flow)

    def send(self) -> float:
        """Send the queued queries; return their cost in messages for one flow."""
        now = self._clock.monotonic()
        self._drop_expired(now)
        queued, self._queued = self._queued, {}
        cost = 0.0
        for companion, flows in queued.values():
            for start in range(0, len(flows), MAX_FLOWS_PER_QUERY):
                batch = tuple(flows[start : start + MAX_FLOWS_PER_QUERY])
                self._send_query(companion, batch, now)
                cost += 1 + len(batch) / FLOWS_PER_MESSAGE_UNIT
        return cost

    def pop_query(self, reply: LookupReply, sender: Address) -> LookupQuery | None:
        """Return and remove the query of a reply; None if it isn't pending."""
        query = self._sent.get(reply.number)
        if query is None or query.companion.fleet_address != sender:
            return None
        del self._sent[reply.number]
        return query

    def _send_query(
        self, companion: CompanionView, flows: tuple[bytes, ...], now: timedelta
    ) -> None:
        """Send a query."""
        server = companion.server
        number = next(self._numbers)
        self._sent[number] = LookupQuery(companion, server.identity, flows, now)
        message = Lookup(
            number=number,
            service=server.service,
            flows=flows,
            unsettled_ms=self._directory.missing_entry_grace_remaining // MILLISECOND,
            era=self._directory.revision.era,
        )
        self._send(encode(message), companion.fleet_address)

    def _drop_expired(self, now: timedelta) -> None:
        """Drop unanswered queries that have expired."""
        while self._sent:
            number, oldest = next(iter(self._sent.items()))
            if now - oldest.sent_at < QUERY_LIFETIME:
                return
            del self._sent[number]

"""Placement of new flows."""

import asyncio
import zlib
from collections.abc import Callable, Mapping
from datetime import timedelta

from pomelotrail_balancer.placement import (
    Choice,
    Companions,
    CompanionView,
    PlacementContext,
    PlacementPolicy,
    ServerSpeeds,
)
from pomelotrail_balancer.placement.const import MAX_WAIT_SHARE
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.directory import Directory, Route
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Packet, flow_text
from pomelotrail_core.offers import LOWEST_COUNTED_PRIORITY, Outcome

from .const import (
    MAX_OFFERS,
    MILLISECOND,
    MIN_RETRANSMISSION_INTERVAL,
    RETRANSMISSION_TIMES,
)
from .flow_table import FlowRecord
from .offer_exchange import OfferExchange

_PART = "placement"
_NO_REPLY = "silent"


class FlowPlacer:
    """Offers new flows to companions, with one task per flow.

    The policy chooses the companions in turn, until one accepts the flow.
    """

    def __init__(
        self,
        directory: Directory,
        companions: Companions,
        policy: PlacementPolicy,
        offers: OfferExchange,
        speeds: ServerSpeeds,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        reset: Callable[[Packet, str], None],
    ) -> None:
        """Send refusals with ``reset``."""
        self._directory = directory
        self._companions = companions
        self._policy = policy
        self._offers = offers
        self._speeds = speeds
        self._clock = clock
        self._log = log
        self._counters = counters
        self._reset = reset

    def place(self, packet: Packet, record: FlowRecord) -> None:
        """Place a flow or handle a retransmission of its opening packet."""
        if record.placement_task is not None and not record.placement_task.done():
            return
        if self._is_queued_retransmission(record):
            self._counters.add("copies_ignored")
            return
        route = self._directory.route(packet.receiver)
        if route is None:
            self._reset(packet, "no_route")
            return
        record.owner = None
        record.placement_task = asyncio.create_task(
            self._async_place(packet, record, route)
        )

    def _is_queued_retransmission(self, record: FlowRecord) -> bool:
        """Return whether a retransmission arrives too soon after acceptance.

        Such a packet doesn't imply that the accepting companion is unresponsive.
        Handles this load pattern: after a start, all retransmissions of a caller are
        read at once. Placing each of them would open the flow at several servers.
        """
        if record.accepted_at is None:
            return False
        return (
            self._clock.monotonic() - record.accepted_at < MIN_RETRANSMISSION_INTERVAL
        )

    async def _async_place(
        self, packet: Packet, record: FlowRecord, route: Route
    ) -> None:
        """Offer the flow until a companion accepts it or all have declined."""
        service = _select_service(route, packet.caller_flow)
        context = self._build_context(service, route, packet, record)
        outcomes: list[str] = []
        started = self._clock.monotonic()
        for _ in range(MAX_OFFERS):
            choice = self._policy.choose(context, self._clock.monotonic())
            if choice is None:
                break
            outcome = await self._offers.async_offer(
                choice, route, packet, record, started
            )
            if outcome is Outcome.ACCEPTED:
                return
            context.record_decline(choice, is_busy=outcome is Outcome.BUSY)
            outcomes.append(_format_outcome(choice, outcome))
        if not record.accepted_by:
            self._refuse(packet, service, route, outcomes)

    def _build_context(
        self, service: str, route: Route, packet: Packet, record: FlowRecord
    ) -> PlacementContext:
        """Return the companions for a flow, avoiding those that accepted it before."""
        candidates = self._companions.candidates(service)
        others = [each for each in candidates if each not in record.accepted_by]
        usable = others or candidates
        alternatives = [
            companion
            for share in route.shares
            if share.service != service and share.weight > 0
            for companion in self._companions.candidates(share.service)
            if companion not in record.accepted_by
        ]
        flow = packet.caller_flow
        return PlacementContext(
            self._companions.preferred(flow, usable),
            usable,
            alternatives,
            max_wait=route.timeout * MAX_WAIT_SHARE,
            target=route.target_latency,
            priority=route.priority,
            first_sent=self._clock.monotonic() - _time_until(packet),
            speeds=self._slow_servers(route),
        )

    def _slow_servers(self, route: Route) -> Mapping[CompanionView, float]:
        """Return the speeds of the slow servers of a route's services."""
        now = self._clock.monotonic()
        speeds: dict[CompanionView, float] = {}
        for service in route.services:
            speeds.update(self._speeds.slow_servers(service, now))
        return speeds

    def _refuse(
        self, packet: Packet, service: str, route: Route, outcomes: list[str]
    ) -> None:
        """Refuse a flow that no companion accepted; none of its requests has run.

        A companion that did not reply may nevertheless have accepted the flow. Then
        no reset is sent, since it could hit an open flow; the caller retransmits.
        """
        is_certain = not any(_NO_REPLY in outcome for outcome in outcomes)
        self._log.write(
            _PART,
            "refused" if is_certain else "unanswered",
            flow=flow_text(packet.caller_flow),
            service=service,
            priority=route.priority,
            outcomes=outcomes,
            **self._directory.log_fields,
        )
        if is_certain:
            priority = min(route.priority, LOWEST_COUNTED_PRIORITY)
            self._counters.add(f"flows_refused_priority_{priority}")
            self._reset(packet, "nobody_takes_it")


def _select_service(route: Route, flow: bytes) -> str:
    """Return the service of a flow; the same for every retransmission."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = zlib.crc32(flow) / 2**32 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _time_until(packet: Packet) -> timedelta:
    """Return the time from the first transmission of an opening packet to this one."""
    count = min(packet.retransmission_count, len(RETRANSMISSION_TIMES))
    return RETRANSMISSION_TIMES[count - 1] if count else timedelta()


def _format_outcome(choice: Choice, outcome: Outcome | None) -> str:
    """Return the server that declined and the reason, for the log."""
    name = outcome.name.lower() if outcome is not None else _NO_REPLY
    identity = choice.companion.server.identity
    if choice.max_wait is None:
        return f"{identity} {name} at limit {choice.limit}"
    if choice.max_wait:
        return f"{identity} {name} within {choice.max_wait // MILLISECOND} ms"
    return f"{identity} {name} on time"

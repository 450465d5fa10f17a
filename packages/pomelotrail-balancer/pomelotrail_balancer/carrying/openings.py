"""Finds a companion that takes a new flow."""

import asyncio
import itertools
import zlib
from collections.abc import Callable
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import (
    Choice,
    Companions,
    CompanionView,
    PlacementPolicy,
    Situation,
)
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.directory import Directory, Route
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Packet, flow_text
from pomelotrail_core.offers import Offer, OfferReply, Outcome, encode

from .const import (
    LATE,
    MAX_LATE_TIMEOUTS,
    MAX_OFFERS,
    MILLISECOND,
    MIN_COPY_INTERVAL,
    OFFER_TIMEOUT,
    SERVER_ANSWER_TIMEOUT,
)
from .flow_table import FlowRecord

_PART = "placement"
_SILENT = "silent"


class _PendingOffer(msgspec.Struct, eq=False):
    """An offer and the replies to it; the first says whether it was taken."""

    companion: CompanionView
    replies: asyncio.Queue[OfferReply] = msgspec.field(default_factory=asyncio.Queue)


class Openings:
    """Places each opening packet in a task of its own.

    Companions answer whether they took the flow. One that doesn't answer is
    suspected and the next one is asked, long before the caller sends a copy.
    """

    def __init__(
        self,
        directory: Directory,
        companions: Companions,
        policy: PlacementPolicy,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        send: SendDatagram,
        reset: Callable[[Packet, str], None],
    ) -> None:
        """Send offers with ``send`` and refusals with ``reset``."""
        self._directory = directory
        self._companions = companions
        self._policy = policy
        self._clock = clock
        self._log = log
        self._counters = counters
        self._send = send
        self._reset = reset
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingOffer] = {}

    def open(self, packet: Packet, record: FlowRecord) -> None:
        """Place a flow, or a further copy of its opening packet."""
        if record.opening is not None and not record.opening.done():
            return
        if self._is_queued_copy(record):
            self._counters.add("copies_ignored")
            return
        route = self._directory.route(packet.receiver)
        if route is None:
            self._reset(packet, "no_route")
            return
        record.owner = None
        record.opening = asyncio.create_task(self._async_place(packet, record, route))

    def receive(self, message: OfferReply, sender: Address) -> None:
        """Take the reply to an offer."""
        pending = self._pending.get(message.number)
        if pending is None or pending.companion.fleet != sender:
            return
        now = self._clock.monotonic()
        pending.companion.report(message.occupancy, message.flows, now)
        pending.replies.put_nowait(message)

    def _is_queued_copy(self, record: FlowRecord) -> bool:
        """Tell whether a copy follows too soon to say that a taker is silent.

        Load pattern answered: after a start, all copies that a caller sent are read
        at once. Placing each of them would open the flow at several servers.
        """
        if record.taken is None:
            return False
        return self._clock.monotonic() - record.taken < MIN_COPY_INTERVAL

    async def _async_place(
        self, packet: Packet, record: FlowRecord, route: Route
    ) -> None:
        """Offer the flow until a companion takes it or all have declined."""
        service = _service_of(route, packet.caller_flow)
        situation = self._situation(service, packet, record)
        outcomes: list[str] = []
        began = self._clock.monotonic()
        for _ in range(MAX_OFFERS):
            choice = self._policy.choose(situation, self._clock.monotonic())
            if choice is None:
                break
            outcome = await self._async_offer(
                choice, service, route, packet, record, began
            )
            if outcome is Outcome.ACCEPTED:
                return
            if choice.companion in situation.declined:
                situation.full.append(choice.companion)
            situation.declined.append(choice.companion)
            if choice.limit > choice.companion.server.slots:
                situation.full.append(choice.companion)
            outcomes.append(_describe(choice, outcome))
        if not record.takers:
            self._give_up(packet, service, outcomes)

    def _situation(self, service: str, packet: Packet, record: FlowRecord) -> Situation:
        """Return who may be offered a flow; takers of earlier copies come last."""
        candidates = self._companions.candidates(service)
        others = [each for each in candidates if each not in record.takers]
        usable = others or candidates
        flow = packet.caller_flow
        return Situation(self._companions.preferred(flow, usable), usable)

    def _give_up(self, packet: Packet, service: str, outcomes: list[str]) -> None:
        """Refuse a flow that no backend server can take; it has not run.

        A companion that did not answer may have taken the flow all the same. Then
        the caller is left to its copies, since a reset could hit an open flow.
        """
        is_certain = not any(_SILENT in outcome for outcome in outcomes)
        self._log.write(
            _PART,
            "refused" if is_certain else "unanswered",
            flow=flow_text(packet.caller_flow),
            service=service,
            outcomes=outcomes,
            version=self._directory.version,
            revision=self._directory.revision,
        )
        if is_certain:
            self._reset(packet, "nobody_takes_it")

    async def _async_offer(
        self,
        choice: Choice,
        service: str,
        route: Route,
        packet: Packet,
        record: FlowRecord,
        began: timedelta,
    ) -> Outcome | None:
        """Offer to one companion; None means that it did not answer.

        One that took the flow may still report that its backend server refuses
        it or is silent.
        """
        companion = choice.companion
        number = next(self._numbers)
        pending = self._pending[number] = _PendingOffer(companion)
        self._send_offer(number, choice, service, route, packet)
        try:
            outcome = await self._async_reply(pending, OFFER_TIMEOUT)
            if outcome is None:
                self._suspect(companion)
            if outcome is not Outcome.ACCEPTED:
                return outcome
            self._take(record, companion)
            elapsed = self._clock.monotonic() - began
            self._counters.latency("placement_seconds").observe(elapsed)
            later = await self._async_reply(pending, SERVER_ANSWER_TIMEOUT)
        finally:
            del self._pending[number]
        if later is not None:
            record.taken = None
        if later is Outcome.REFUSED_BY_SERVER and companion in record.takers:
            record.takers.remove(companion)
            record.owner = None
        return later or Outcome.ACCEPTED

    async def _async_reply(
        self, pending: _PendingOffer, timeout: timedelta
    ) -> Outcome | None:
        """Return the next reply to an offer, or None when there is none in time.

        Load pattern answered: this process has more to do than its processor
        carries. A timeout that ends late says nothing about the companion, whose
        reply waits to be read; taking it for silence would add offers to the load.
        """
        for _ in range(MAX_LATE_TIMEOUTS):
            ends = self._clock.monotonic() + timeout
            try:
                async with asyncio.timeout(timeout.total_seconds()):
                    return (await pending.replies.get()).outcome
            except TimeoutError:
                if self._clock.monotonic() - ends < LATE:
                    return None
                self._counters.add("timeouts_late")
        return None

    def _send_offer(
        self, number: int, choice: Choice, service: str, route: Route, packet: Packet
    ) -> None:
        """Send and log an offer."""
        companion = choice.companion
        self._log_offer(choice, packet, self._clock.monotonic())
        companion.offered += 1
        cold = self._directory.cold_flows_per_s(companion.server)
        offer = Offer(
            number=number,
            service=service,
            limit=choice.limit,
            slots=companion.server.slots,
            cold_per_s=cold,
            priority=route.priority,
            target_ms=route.target_latency // MILLISECOND,
            packet=packet.data,
            unsettled_ms=self._directory.missing_entry_grace_remaining // MILLISECOND,
        )
        self._send(encode(offer), companion.fleet)

    def _log_offer(self, choice: Choice, packet: Packet, now: timedelta) -> None:
        """Log to whom a flow is offered, and on which report."""
        reported = choice.companion.reported
        age = (now - reported).total_seconds() * 1000 if reported is not None else -1
        self._log.write(
            _PART,
            "offered",
            flow=flow_text(packet.caller_flow),
            copy=packet.retransmission_count,
            server=choice.companion.server.identity,
            load=round(choice.load, 3),
            report_age_ms=round(age, 1),
            limit=choice.limit,
            version=self._directory.version,
        )

    def _take(self, record: FlowRecord, companion: CompanionView) -> None:
        """Note who took a flow; the only taker is its owner."""
        if companion not in record.takers:
            record.takers.append(companion)
        record.owner = companion if len(record.takers) == 1 else None
        record.taken = self._clock.monotonic()

    def _suspect(self, companion: CompanionView) -> None:
        """Avoid a companion that doesn't answer until it does."""
        if not companion.is_suspect:
            self._log.write("companions", "suspected", server=companion.server.identity)
        companion.is_suspect = True


def _service_of(route: Route, flow: bytes) -> str:
    """Return the service of a flow; copies of a packet get the same one."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = zlib.crc32(flow) / 2**32 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _describe(choice: Choice, outcome: Outcome | None) -> str:
    """Return who declined and why."""
    name = outcome.name.lower() if outcome is not None else _SILENT
    return f"{choice.companion.server.identity} {name} at limit {choice.limit}"

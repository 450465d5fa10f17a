"""Offers to companions and their replies."""

import asyncio
import itertools
from collections import OrderedDict
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import Choice, CompanionView
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.directory import Directory, Route
from pomelotrail_core.endpoint import PACKED_ENDPOINT_BYTES
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Packet, flow_text
from pomelotrail_core.offers import Offer, OfferReply, Outcome, encode

from .const import (
    LATE_TIMER_THRESHOLD,
    MAX_LATE_TIMEOUTS,
    MAX_OFFER_TIMEOUT,
    MAX_OVERDUE_OFFERS,
    MILLISECOND,
    OFFER_TIMEOUT,
    SERVER_ANSWER_TIMEOUT,
)
from .flow_table import FlowRecord
from .load_reports import LoadReports
from .reply_time import ReplyTime

_PART = "placement"


class _PendingOffer(msgspec.Struct, eq=False):
    """An offer and its replies; the first states whether it was accepted."""

    companion: CompanionView
    record: FlowRecord
    sent_at: timedelta
    priority: int
    has_reply: bool = False
    replies: asyncio.Queue[OfferReply] = msgspec.field(default_factory=asyncio.Queue)


class OfferExchange:
    """Offers a flow to one companion and waits for its reply.

    If the reply is overdue, the companion is suspected, and the flow can be offered to
    the next one before the caller retransmits the opening packet. When a reply is
    overdue follows from observed reply times.

    Handles this load pattern: all replies are late, because packets wait at the slow
    link of this balancer. With a fixed timeout, each flow would be offered to many
    companions, of which several accept it, and the offers would keep the link full.
    """

    def __init__(
        self,
        directory: Directory,
        load_reports: LoadReports,
        reply_time: ReplyTime,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        send: SendDatagram,
    ) -> None:
        """Send offers with ``send``."""
        self._directory = directory
        self._load_reports = load_reports
        self._reply_time = reply_time
        self._clock = clock
        self._log = log
        self._counters = counters
        self._send = send
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingOffer] = {}
        self._overdue: OrderedDict[int, _PendingOffer] = OrderedDict()

    def receive(self, message: OfferReply, sender: Address) -> None:
        """Handle the reply to an offer."""
        pending = self._pending.get(message.number)
        overdue = self._overdue.pop(message.number, None) if pending is None else None
        offer = pending or overdue
        if offer is None or offer.companion.fleet_address != sender:
            return
        route = offer.record.flow[PACKED_ENDPOINT_BYTES:]
        self._load_reports.record(offer.companion, message, route, offer.priority)
        if not offer.has_reply:
            offer.has_reply = True
            self._reply_time.record(self._clock.monotonic() - offer.sent_at)
        offer.replies.put_nowait(message)
        if overdue is not None:
            self._counters.add("offer_replies_late")
            if message.outcome is Outcome.ACCEPTED and overdue.record.owner is None:
                self._record_acceptance(overdue.record, overdue.companion)

    async def async_offer(
        self,
        choice: Choice,
        route: Route,
        packet: Packet,
        record: FlowRecord,
        started: timedelta,
    ) -> Outcome | None:
        """Offer the flow to a companion; return None if it did not reply.

        After accepting, the companion may still report that its backend server
        refused the flow or is unresponsive.
        """
        companion = choice.companion
        number = next(self._numbers)
        now = self._clock.monotonic()
        pending = _PendingOffer(companion, record, now, route.priority)
        self._pending[number] = pending
        self._send_offer(number, choice, route, packet)
        backed_off = self._reply_time.backed_off_timeout(OFFER_TIMEOUT)
        timeout = min(backed_off, MAX_OFFER_TIMEOUT)
        try:
            outcome = await self._async_wait_for_reply(pending, timeout)
            if outcome is None:
                self._reply_time.record_overdue()
                self._mark_suspect(companion)
                self._add_overdue(number, pending)
            if outcome is not Outcome.ACCEPTED:
                return outcome
            self._record_acceptance(record, companion)
            elapsed = self._clock.monotonic() - started
            self._counters.latency("placement_seconds").observe(elapsed)
            server_outcome = await self._async_wait_for_reply(
                pending, SERVER_ANSWER_TIMEOUT
            )
        finally:
            del self._pending[number]
        if server_outcome is not None:
            record.accepted_at = None
        if (
            server_outcome is Outcome.REFUSED_BY_SERVER
            and companion in record.accepted_by
        ):
            record.accepted_by.remove(companion)
            record.owner = None
        return server_outcome or Outcome.ACCEPTED

    async def _async_wait_for_reply(
        self, pending: _PendingOffer, timeout: timedelta
    ) -> Outcome | None:
        """Return the next reply to an offer, or None after a timeout.

        Handles this load pattern: this process is overloaded. A timer that fires
        late doesn't show that the companion is unresponsive, since its reply may be
        waiting to be read; further offers would add to the load.
        """
        for _ in range(MAX_LATE_TIMEOUTS):
            deadline = self._clock.monotonic() + timeout
            try:
                async with asyncio.timeout(timeout.total_seconds()):
                    return (await pending.replies.get()).outcome
            except TimeoutError:
                if self._clock.monotonic() - deadline < LATE_TIMER_THRESHOLD:
                    return None
                self._counters.add("timeouts_late")
        return None

    def _send_offer(
        self, number: int, choice: Choice, route: Route, packet: Packet
    ) -> None:
        """Send and log an offer."""
        companion = choice.companion
        self._log_offer(choice, packet, self._clock.monotonic())
        companion.offered_flows += 1
        cold = self._directory.cold_flows_per_s(companion.server)
        offer = Offer(
            number=number,
            service=companion.server.service,
            limit=choice.limit,
            slots=companion.server.slots,
            cold_per_s=cold,
            priority=route.priority,
            target_ms=route.target_latency // MILLISECOND,
            packet=packet.data,
            unsettled_ms=self._directory.missing_entry_grace_remaining // MILLISECOND,
            era=self._directory.revision.era,
            start_per_s=self._directory.start_flows_per_s(companion.server.service),
            age_ms=_milliseconds(choice.age),
            max_wait_ms=_milliseconds(choice.max_wait),
        )
        self._send(encode(offer), companion.fleet_address)

    def _log_offer(self, choice: Choice, packet: Packet, now: timedelta) -> None:
        """Log an offer and the age of the load report that it is based on."""
        reported_at = choice.companion.reported_at
        age = (
            (now - reported_at).total_seconds() * 1000
            if reported_at is not None
            else -1
        )
        self._log.write(
            _PART,
            "offered",
            flow=flow_text(packet.caller_flow),
            copy=packet.retransmission_count,
            server=choice.companion.server.identity,
            load=round(choice.load, 3),
            speed=round(choice.speed, 2),
            work_ms=round(choice.companion.work / MILLISECOND, 1),
            report_age_ms=round(age, 1),
            limit=choice.limit,
            version=self._directory.version,
            **_wait_fields(choice),
        )

    def _record_acceptance(self, record: FlowRecord, companion: CompanionView) -> None:
        """Record an acceptance; a single accepting companion is the owner."""
        if companion not in record.accepted_by:
            record.accepted_by.append(companion)
        record.owner = companion if len(record.accepted_by) == 1 else None
        record.accepted_at = self._clock.monotonic()

    def _add_overdue(self, number: int, offer: _PendingOffer) -> None:
        """Keep an offer whose reply may still arrive; drop the oldest ones."""
        self._overdue[number] = offer
        while len(self._overdue) > MAX_OVERDUE_OFFERS:
            self._overdue.popitem(last=False)

    def _mark_suspect(self, companion: CompanionView) -> None:
        """Avoid an unresponsive companion until it replies."""
        if not companion.is_suspect:
            self._log.write("companions", "suspected", server=companion.server.identity)
        companion.is_suspect = True


def _milliseconds(duration: timedelta | None) -> int | None:
    """Return a duration in whole milliseconds, as offers contain it."""
    return duration // MILLISECOND if duration is not None else None


def _wait_fields(choice: Choice) -> dict[str, int | None]:
    """Return the fields of the log line of an offer that the wait decides."""
    if choice.age is None:
        return {}
    return {
        "age_ms": _milliseconds(choice.age),
        "max_wait_ms": _milliseconds(choice.max_wait),
    }

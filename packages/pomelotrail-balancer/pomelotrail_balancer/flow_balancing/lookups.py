"""Lookups of the owners of unknown flows."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from pomelotrail_balancer.placement import Companions, CompanionView
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.directory import CompletenessCheck, Directory
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import Packet, flow_text
from pomelotrail_core.offers import LookupReply

from .const import (
    BATCH_INTERVAL,
    CHECK_RETRY_DELAY,
    LOOKUP_IDLE_TIMEOUT,
    LOOKUP_RETRY_INTERVAL,
    LOOKUP_STAGE_TIMEOUT,
    MAX_LOOKUPS,
    MILLISECOND,
    UNSURE_RETENTION,
)
from .flow_lookup import FlowLookup
from .lookup_policy import LookupPolicy
from .lookup_queries import LookupQueries
from .message_budget import MessageBudget
from .reply_time import ReplyTime
from .server_probes import ServerProbes

_PART = "carrying"


class Lookups:
    """Queries the companions of likely owners first, then all others.

    A flow has no owner only if the companion of every server in the directory has
    denied it and the directory had all entries of the store: when an entry is added,
    its companion is queried as well. A missing reply is never a denial; companions
    that don't reply are queried again while the caller sends packets. Companions of
    removed servers are queried too, but their replies aren't required, since most of
    them no longer run.
    """

    def __init__(
        self,
        directory: Directory,
        check: CompletenessCheck,
        companions: Companions,
        clock: Clock,
        log: EventLog,
        counters: Counters,
        budget: MessageBudget,
        probes: ServerProbes,
        reply_time: ReplyTime,
        send_message: SendDatagram,
        on_owner_found: Callable[[FlowLookup, CompanionView], None],
        on_unowned: Callable[[Packet], None],
    ) -> None:
        """Report owners to ``on_owner_found`` and ownerless flows to ``on_unowned``.

        ``probes`` sends packets to unsure companions, whose servers then decide.
        """
        self._directory = directory
        self._check = check
        self._companions = companions
        self._clock = clock
        self._log = log
        self._counters = counters
        self._budget = budget
        self._probes = probes
        self._on_owner_found = on_owner_found
        self._on_unowned = on_unowned
        self._policy = LookupPolicy(directory)
        self._queries = LookupQueries(directory, clock, send_message)
        self._reply_time = reply_time
        self._pending: dict[bytes, FlowLookup] = {}
        self._round_timer: asyncio.TimerHandle | None = None
        self._round_at = timedelta()
        self._batch_timer: asyncio.TimerHandle | None = None
        self._checks: set[asyncio.Task] = set()

    def look_up(self, packet: Packet) -> None:
        """Look up the owner of a packet's flow and hold the packet until then."""
        now = self._clock.monotonic()
        lookup = self._pending.get(packet.caller_flow)
        if lookup is not None and lookup.is_same_flow(packet):
            lookup.last_packet_at = now
            lookup.hold(packet)
            for companion in lookup.accepted_by.values():
                self._probes.send_directly(packet, companion)
            return
        route = self._directory.route(packet.receiver)
        if route is None:
            self._counters.add("packets_without_route")
            return
        if lookup is None and len(self._pending) >= MAX_LOOKUPS:
            self._counters.add("lookups_refused")
            return
        self._start(packet, route.services, now)

    def cancel(self, flow: bytes) -> None:
        """Cancel the lookup of a flow, if there is one."""
        self._pending.pop(flow, None)

    def receive(self, reply: LookupReply, sender: Address) -> None:
        """Handle the reply of a companion."""
        query = self._queries.pop_query(reply, sender)
        if query is None:
            return
        now = self._clock.monotonic()
        self._reply_time.record(now - query.sent_at)
        is_unsure = not set(reply.unsure).issubset(reply.accepted)
        query.companion.unsure_until = (
            now + UNSURE_RETENTION if is_unsure else timedelta()
        )
        for index, flow in enumerate(query.flows):
            lookup = self._pending.get(flow)
            if lookup is None or query.sent_at < lookup.started:
                # The query was for an earlier flow between the same addresses.
                continue
            if index in reply.owned:
                self.resolve(flow, query.companion)
            elif index in reply.unsure:
                if index in reply.served:
                    self._record_service(lookup, query.companion)
                if index in reply.accepted:
                    lookup.accepted_by[sender] = query.companion
                self._settle_unsure(lookup, query.companion, query.identity)
            else:
                self._record_denial(lookup, query.identity)

    def resolve(self, flow: bytes, companion: CompanionView) -> bool:
        """End the lookup of a flow whose owner replied; False if there is none."""
        lookup = self._pending.pop(flow, None)
        if lookup is None:
            return False
        self._policy.was_last_unowned = False
        self._record_service(lookup, companion)
        self._log.write(
            _PART,
            "owner_found",
            flow=flow_text(flow),
            server=companion.server.identity,
            lookup_ms=(self._clock.monotonic() - lookup.started) // MILLISECOND,
            denied=len(lookup.denied),
        )
        self._on_owner_found(lookup, companion)
        return True

    def _record_service(self, lookup: FlowLookup, companion: CompanionView) -> None:
        """Record that a companion's service has flows of the address of a lookup.

        Handles this load pattern: all processes were killed after the service of a
        route had changed. Only servers know its open flows, and nobody the service.
        """
        address, service = lookup.first_packet.receiver, companion.server.service
        self._directory.record_flow(address, service)

    def record_returned_probe(self, flow: bytes, sender: Address) -> None:
        """Record that the backend server at an address returned a probe packet."""
        lookup = self._pending.get(flow)
        for identity in lookup.pop_denied(sender) if lookup is not None else ():
            self._record_denial(lookup, identity)

    def _start(self, packet: Packet, services: frozenset[str], now: timedelta) -> None:
        """Query the companions that the flow was probably offered to first.

        All others are queried later, including those of other services: the flow may
        be older than the configuration that set the services of its route.
        """
        flow = packet.caller_flow
        due = now + self._two_replies(LOOKUP_STAGE_TIMEOUT)
        lookup = FlowLookup(flow, packet, now, now, due)
        self._pending[flow] = lookup
        possible_owners = self._companions.possible_owners()
        preferred = []
        for service in services:
            own = [each for each in possible_owners if each.server.service == service]
            preferred += self._companions.preferred(flow, own)
        if self._policy.has_probably_no_owner(preferred, now):
            lookup.due = now + BATCH_INTERVAL
            preferred = []
        for companion in preferred:
            self._query(lookup, companion, now)
            lookup.awaited.add(companion.server.identity)
        self._counters.add("lookups")
        self._log.write(
            _PART,
            "looked_up",
            flow=flow_text(flow),
            asked=len(lookup.awaited),
            holders=len(possible_owners),
            **self._directory.log_fields,
        )
        if self._batch_timer is None:
            loop = asyncio.get_running_loop()
            self._batch_timer = loop.call_later(
                BATCH_INTERVAL.total_seconds(), self._send_first_queries
            )
        self._schedule_round(lookup.due, now)

    def _send_first_queries(self) -> None:
        """Send the queries to likely owners."""
        self._batch_timer = None
        self._queries.send()

    def _schedule_round(self, due: timedelta, now: timedelta) -> None:
        """Schedule a round, unless an earlier one is already scheduled."""
        if self._round_timer is not None:
            if self._round_at <= due:
                return
            self._round_timer.cancel()
        self._round_at = due
        delay = max(timedelta(), due - now).total_seconds()
        self._round_timer = asyncio.get_running_loop().call_later(
            delay, self._run_round
        )

    def _run_round(self) -> None:
        """Continue lookups and schedule the next round."""
        self._round_timer = None
        now = self._clock.monotonic()
        try:
            self._continue_lookups(now)
        finally:
            # A lookup that fails must not keep the others waiting for good.
            if self._pending:
                due = min(each.due for each in self._pending.values())
                self._schedule_round(max(due, now + BATCH_INTERVAL), now)

    def _continue_lookups(self, now: timedelta) -> None:
        """Continue all lookups that are due and drop idle ones."""
        possible_owners = self._companions.possible_owners()
        for lookup in list(self._pending.values()):
            try:
                if now - lookup.last_packet_at >= LOOKUP_IDLE_TIMEOUT:
                    self._abandon(lookup, now)
                elif lookup.due <= now:
                    self._continue_lookup(lookup, possible_owners, now)
            except Exception as error:  # noqa: BLE001
                self._drop_failed(lookup, error)
        self._budget.spend(self._queries.send())

    def _drop_failed(self, lookup: FlowLookup, error: Exception) -> None:
        """Drop a lookup that failed; the caller's next packet starts it anew."""
        self._pending.pop(lookup.flow, None)
        self._counters.add("lookups_failed")
        problem = repr(error)
        self._log.write(
            _PART, "lookup_failed", flow=flow_text(lookup.flow), problem=problem
        )

    def _continue_lookup(
        self,
        lookup: FlowLookup,
        possible_owners: list[CompanionView],
        now: timedelta,
    ) -> None:
        """Query the companions that have not denied a flow, or end its lookup."""
        remaining = lookup.without_denial(possible_owners)
        if not remaining:
            self._end_denied(lookup, now)
            return
        if not self._budget.has_tokens(now):
            self._counters.add("lookups_postponed")
            lookup.due = now + LOOKUP_STAGE_TIMEOUT
            return
        if not lookup.is_widened and self._policy.must_widen(lookup, remaining):
            self._widen(lookup, remaining)
        lookup.due = now + self._two_replies(LOOKUP_RETRY_INTERVAL)
        lookup.start_round(remaining)
        if lookup.full_rounds == 1:
            remaining += self._companions.confirmed_removals()
        for companion in remaining:
            if self._policy.is_undecided(lookup, companion, now):
                self._record_reply(lookup, companion.server.identity)
            else:
                self._query(lookup, companion, now)

    def _query(
        self, lookup: FlowLookup, companion: CompanionView, now: timedelta
    ) -> None:
        """Ask a companion whether its server owns a flow, or probe the server."""
        if self._policy.must_ask(lookup, companion, now):
            self._counters.add("lookup_queries")
            self._queries.add(lookup.flow, companion)
        else:
            self._probe_server(lookup, companion, companion.server.identity)

    def _settle_unsure(
        self, lookup: FlowLookup, companion: CompanionView, identity: str
    ) -> None:
        """Let the server of an unsure companion decide, if it may own the flow.

        Those of other services may get a packet once all others have denied the flow.
        """
        address, service = lookup.first_packet.receiver, companion.server.service
        if self._policy.may_probe(lookup, companion):
            self._probe_server(lookup, companion, identity)
        elif not self._directory.may_have_flows(address, service):
            self._record_denial(lookup, identity)
        elif not self._directory.knows_former_services:
            self._record_reply(lookup, identity)

    def _record_denial(self, lookup: FlowLookup, identity: str) -> None:
        """Record that a server doesn't own a flow."""
        lookup.denied.add(identity)
        self._record_reply(lookup, identity)

    def _record_reply(self, lookup: FlowLookup, identity: str) -> None:
        """Continue the lookup after the last awaited reply."""
        lookup.awaited.discard(identity)
        if not lookup.awaited and not lookup.is_checking:
            now = self._clock.monotonic()
            lookup.due = now
            self._schedule_round(now + BATCH_INTERVAL, now)

    def _probe_server(
        self, lookup: FlowLookup, companion: CompanionView, identity: str
    ) -> None:
        """Send a packet to the server of a companion that is unsure."""
        if not self._policy.may_probe(lookup, companion):
            return
        if not lookup.takes_probe(companion, identity):
            return
        has_accepted = companion.fleet_address in lookup.accepted_by
        if has_accepted or lookup.takes_direct_probe(companion):
            self._probes.send_directly(lookup.first_packet, companion)
        else:
            self._probes.add(lookup.first_packet, companion)

    def _widen(self, lookup: FlowLookup, remaining: list[CompanionView]) -> None:
        """Let servers of all services be probed for a flow."""
        lookup.is_widened = True
        self._counters.add("lookups_widened")
        self._log.write(
            _PART,
            "lookup_widened",
            flow=flow_text(lookup.flow),
            denied=len(lookup.denied),
            remaining=len(remaining),
            **self._directory.log_fields,
        )

    def _two_replies(self, minimum: timedelta) -> timedelta:
        """Return the time in which a query and a probe are answered."""
        return min(self._reply_time.timeout(minimum / 2) * 2, LOOKUP_IDLE_TIMEOUT)

    def _end_denied(self, lookup: FlowLookup, now: timedelta) -> None:
        """End a lookup that all have denied, once the directory was complete."""
        lookup.due = now + CHECK_RETRY_DELAY
        if lookup.is_complete:
            del self._pending[lookup.flow]
            self._policy.was_last_unowned = True
            self._log.write(
                _PART,
                "nobody_found",
                flow=flow_text(lookup.flow),
                denied=len(lookup.denied),
                lookup_ms=(now - lookup.started) // MILLISECOND,
                **self._directory.log_fields,
            )
            self._on_unowned(lookup.first_packet)
        elif not lookup.is_checking:
            lookup.is_checking = True
            task = asyncio.create_task(self._async_check(lookup))
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    async def _async_check(self, lookup: FlowLookup) -> None:
        """Check that the directory has all entries of when the lookup started."""
        try:
            lookup.is_complete = await self._check.async_is_complete(lookup.started)
        finally:
            lookup.is_checking = False
        if lookup.is_complete and self._pending.get(lookup.flow) is lookup:
            now = self._clock.monotonic()
            lookup.due = now
            self._schedule_round(now, now)

    def _abandon(self, lookup: FlowLookup, now: timedelta) -> None:
        """End a lookup whose caller has stopped sending packets."""
        del self._pending[lookup.flow]
        self._counters.add("lookups_given_up")
        self._log.write(
            _PART,
            "lookup_given_up",
            flow=flow_text(lookup.flow),
            awaited=sorted(lookup.awaited)[:3],
            denied=len(lookup.denied),
            lookup_ms=(now - lookup.started) // MILLISECOND,
        )

"""Finds the owners of flows that this balancer doesn't know."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import Companions, CompanionView
from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address, SendDatagram
from pomelotrail_core.directory import CompletenessCheck, Directory
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.flows import SEQUENCE_RANGE, Packet, flow_text
from pomelotrail_core.offers import LookupReply

from .const import (
    CHECK_RETRY,
    GATHERING,
    LOOKUP_INTERVAL,
    LOOKUP_LIFETIME,
    LOOKUP_STAGE,
    MAX_HELD_PACKETS,
    MAX_LOOKUPS,
    MAX_POSITION_STEP,
    MILLISECOND,
)
from .message_budget import MessageBudget
from .questions import Questions

_PART = "carrying"


class FlowLookup(msgspec.Struct, eq=False):
    """The search for the owner of one flow.

    ``sought`` is the packet that began it, ``held`` are those that came after.
    Servers are named by identity: those in ``denied`` don't hold the flow, those in
    ``awaited`` were asked and have not answered. ``probed`` tells which server's
    companion was given a packet at an address. ``is_complete`` is set once the
    directory had all entries that the store had when the search began.
    """

    flow: bytes
    sought: Packet
    began: timedelta
    used: timedelta
    due: timedelta
    held: list[Packet] = msgspec.field(default_factory=list)
    denied: set[str] = msgspec.field(default_factory=set)
    awaited: set[str] = msgspec.field(default_factory=set)
    probed: dict[Address, str] = msgspec.field(default_factory=dict)
    is_everybody_asked: bool = False
    is_checking: bool = False
    is_complete: bool = False

    def missing(self, holders: list[CompanionView]) -> list[CompanionView]:
        """Return the companions that have not denied the flow for their server."""
        denied = self.denied
        return [each for each in holders if each.server.identity not in denied]

    def hold(self, packet: Packet) -> None:
        """Keep a packet for the owner."""
        if packet.data == self.sought.data or len(self.held) >= MAX_HELD_PACKETS:
            return
        self.held.append(packet)

    def is_of(self, packet: Packet) -> bool:
        """Tell whether a packet is near enough to be of the same flow.

        Callers use their ports again; evidence about an earlier flow of the same
        addresses says nothing about the present one.
        """
        step = (packet.acknowledged - self.sought.acknowledged) % SEQUENCE_RANGE
        return min(step, SEQUENCE_RANGE - step) <= MAX_POSITION_STEP


class Lookups:
    """Asks the companions of probable owners first, then all others.

    A flow is dead only when the companion of every server in the directory has
    denied it, and the directory had all entries of the store: what was asked before
    the last entry came is asked for again. Silence is never evidence; those that
    don't answer are asked again while the caller sends packets. Companions of servers
    that have left are asked too, but most of them are gone, so they aren't waited for.
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
        send_message: SendDatagram,
        probe: Callable[[Packet, CompanionView], None],
        found: Callable[[FlowLookup, CompanionView], None],
        died: Callable[[Packet], None],
    ) -> None:
        """Report owners to ``found`` and flows that nobody holds to ``died``.

        ``probe`` hands a packet to a companion whose server alone can tell.
        """
        self._directory = directory
        self._check = check
        self._companions = companions
        self._clock = clock
        self._log = log
        self._counters = counters
        self._budget = budget
        self._probe = probe
        self._found = found
        self._died = died
        self._questions = Questions(directory, clock, send_message)
        self._pending: dict[bytes, FlowLookup] = {}
        self._round: asyncio.TimerHandle | None = None
        self._round_at = timedelta()
        self._flush: asyncio.TimerHandle | None = None
        self._checks: set[asyncio.Task] = set()

    def seek(self, packet: Packet) -> None:
        """Look up the owner of a packet's flow, and hold the packet meanwhile."""
        now = self._clock.monotonic()
        lookup = self._pending.get(packet.caller_flow)
        if lookup is not None and lookup.is_of(packet):
            lookup.used = now
            lookup.hold(packet)
            return
        route = self._directory.route(packet.receiver)
        if route is None:
            self._counters.add("packets_without_route")
            return
        if lookup is None and len(self._pending) >= MAX_LOOKUPS:
            self._counters.add("lookups_refused")
            return
        self._begin(packet, {share.service for share in route.shares}, now)

    def cancel(self, flow: bytes) -> None:
        """End the lookup of a flow, if there is one."""
        self._pending.pop(flow, None)

    def receive(self, reply: LookupReply, sender: Address) -> None:
        """Take the answer of a companion."""
        question = self._questions.take(reply, sender)
        if question is None:
            return
        for place, flow in enumerate(question.flows):
            lookup = self._pending.get(flow)
            if lookup is None or question.sent < lookup.began:
                # The question was about an earlier flow of the same addresses.
                continue
            if place in reply.owned:
                self.find(flow, question.companion)
            elif place in reply.unsure:
                self._let_server_tell(lookup, question.companion, question.identity)
            else:
                self._note_denied(lookup, question.identity)

    def find(self, flow: bytes, companion: CompanionView) -> bool:
        """End a lookup by the word of the owner; False if there is none."""
        lookup = self._pending.pop(flow, None)
        if lookup is None:
            return False
        self._log.write(
            _PART,
            "owner_found",
            flow=flow_text(flow),
            server=companion.server.identity,
            lookup_ms=(self._clock.monotonic() - lookup.began) // MILLISECOND,
            denied=len(lookup.denied),
        )
        self._found(lookup, companion)
        return True

    def note_returned(self, flow: bytes, sender: Address) -> None:
        """Note that the backend server at an address gave a probe back."""
        lookup = self._pending.get(flow)
        if lookup is not None and (identity := lookup.probed.pop(sender, None)):
            self._note_denied(lookup, identity)

    def _begin(self, packet: Packet, services: set[str], now: timedelta) -> None:
        """Ask the companions that the flow was probably offered to first.

        The others are asked later, those of other services too: the flow may be
        older than the configuration that leads its route to these.
        """
        flow = packet.caller_flow
        lookup = FlowLookup(flow, packet, now, now, now + LOOKUP_STAGE)
        self._pending[flow] = lookup
        holders = self._companions.holders()
        for service in services:
            own = [each for each in holders if each.server.service == service]
            for companion in self._companions.preferred(flow, own):
                self._questions.add(flow, companion)
                lookup.awaited.add(companion.server.identity)
        self._counters.add("lookups")
        self._log.write(
            _PART,
            "looked_up",
            flow=flow_text(flow),
            asked=len(lookup.awaited),
            holders=len(holders),
            version=self._directory.version,
            revision=self._directory.revision,
        )
        if self._flush is None:
            loop = asyncio.get_running_loop()
            self._flush = loop.call_later(GATHERING.total_seconds(), self._send_first)
        self._schedule(lookup.due, now)

    def _send_first(self) -> None:
        """Send the questions to probable owners."""
        self._flush = None
        self._questions.send()

    def _schedule(self, due: timedelta, now: timedelta) -> None:
        """Run a round at a time, or earlier if one is planned."""
        if self._round is not None:
            if self._round_at <= due:
                return
            self._round.cancel()
        self._round_at = due
        delay = max(timedelta(), due - now).total_seconds()
        self._round = asyncio.get_running_loop().call_later(delay, self._run_round)

    def _run_round(self) -> None:
        """Go on with all lookups that are due."""
        self._round = None
        now = self._clock.monotonic()
        holders = self._companions.holders()
        may_send = self._budget.has_tokens(now)
        for lookup in list(self._pending.values()):
            if now - lookup.used >= LOOKUP_LIFETIME:
                self._give_up(lookup, now)
            elif lookup.due <= now:
                self._go_on(lookup, holders, may_send, now)
        self._budget.spend(self._questions.send())
        if self._pending:
            due = min(each.due for each in self._pending.values())
            self._schedule(max(due, now + GATHERING), now)

    def _go_on(
        self,
        lookup: FlowLookup,
        holders: list[CompanionView],
        may_send: bool,
        now: timedelta,
    ) -> None:
        """Ask those who have not denied a flow, or conclude that nobody holds it."""
        missing = lookup.missing(holders)
        if not missing:
            self._conclude(lookup, now)
            return
        if not may_send:
            self._counters.add("lookups_postponed")
            lookup.due = now + LOOKUP_STAGE
            return
        lookup.due = now + LOOKUP_INTERVAL
        lookup.awaited = {each.server.identity for each in missing}
        if not lookup.is_everybody_asked:
            lookup.is_everybody_asked = True
            missing += self._companions.left()
        for companion in missing:
            self._questions.add(lookup.flow, companion)

    def _note_denied(self, lookup: FlowLookup, identity: str) -> None:
        """Note that a server doesn't hold a flow; go on after the last answer."""
        lookup.denied.add(identity)
        lookup.awaited.discard(identity)
        if not lookup.awaited and not lookup.is_checking:
            now = self._clock.monotonic()
            lookup.due = now
            self._schedule(now + GATHERING, now)

    def _let_server_tell(
        self, lookup: FlowLookup, companion: CompanionView, identity: str
    ) -> None:
        """Give a packet to the server of a companion that is unsure.

        A server of another service than those of the route gets nothing, so its
        companion's doubt stands, and the flow isn't reset.
        """
        route = self._directory.route(lookup.sought.receiver)
        shares = route.shares if route is not None else ()
        if companion.server.service in {share.service for share in shares}:
            lookup.probed[companion.fleet] = identity
            self._probe(lookup.sought, companion)

    def _conclude(self, lookup: FlowLookup, now: timedelta) -> None:
        """End a lookup that everybody has denied, if nobody was left out."""
        lookup.due = now + CHECK_RETRY
        if lookup.is_complete:
            del self._pending[lookup.flow]
            self._log.write(
                _PART,
                "nobody_found",
                flow=flow_text(lookup.flow),
                denied=len(lookup.denied),
                lookup_ms=(now - lookup.began) // MILLISECOND,
                revision=self._directory.revision,
            )
            self._died(lookup.sought)
        elif not lookup.is_checking:
            lookup.is_checking = True
            task = asyncio.create_task(self._async_check(lookup))
            self._checks.add(task)
            task.add_done_callback(self._checks.discard)

    async def _async_check(self, lookup: FlowLookup) -> None:
        """Make sure that the directory had all entries when the lookup began."""
        lookup.is_complete = await self._check.async_is_complete(lookup.began)
        lookup.is_checking = False
        if lookup.is_complete and self._pending.get(lookup.flow) is lookup:
            now = self._clock.monotonic()
            lookup.due = now
            self._schedule(now, now)

    def _give_up(self, lookup: FlowLookup, now: timedelta) -> None:
        """End a lookup whose caller sends nothing any more."""
        del self._pending[lookup.flow]
        self._counters.add("lookups_given_up")
        self._log.write(
            _PART,
            "lookup_given_up",
            flow=flow_text(lookup.flow),
            awaited=sorted(lookup.awaited)[:3],
            denied=len(lookup.denied),
            lookup_ms=(now - lookup.began) // MILLISECOND,
        )

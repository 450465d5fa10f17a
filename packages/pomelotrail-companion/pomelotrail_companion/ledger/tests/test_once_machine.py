"""Stateful test with random faults and real ledgers: no request runs twice.

Callers follow the documented rule: they retry a request under a new ticket only
after "not run". Delayed messages can still arrive at any later time.
"""

import asyncio
import random
import unittest
from collections import deque
from datetime import timedelta

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from harness.fake_backend_servers import Ending, answer_body
from harness.fake_clock import FakeClock, async_run_ready_tasks
from harness.fake_companions import Delivery, FakeCompanion, FakeNetwork
from pomelotrail_companion.ledger import LedgerLimits
from pomelotrail_companion.ledger.const import TICKET_HEADER
from pomelotrail_companion.requests import Answer, Outcome

_COMPANIONS = 3
_PLACES = st.integers(0, _COMPANIONS - 1)
_ROUTES = st.integers(0, 2 * _COMPANIONS - 1)
_PICKS = st.integers(0, 1_000)
_LIMITS = LedgerLimits(window=timedelta(seconds=60), entries=3, kept_bytes=60)
_ENDINGS = st.sampled_from([None, None, *Ending])
_DELIVERIES = st.lists(st.sampled_from(list(Delivery)), max_size=2)


@attrs.define(eq=False)
class LogicalRequest:
    """A request that must run once, with its current ticket.

    ``sent`` contains every ticket under which the request was sent.
    """

    name: str
    ticket: str
    sent: list[str] = attrs.Factory(list)


@attrs.frozen
class Sent:
    """Message that a caller sent."""

    request: LogicalRequest
    name: str
    ticket: str
    place: int


class OnceMachine(RuleBasedStateMachine):
    """Callers, companions and backend servers under every fault."""

    def __init__(self) -> None:
        """Initialize with healthy companions."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = FakeClock()
        self.deliveries: deque[Delivery] = deque()
        self.ending: Ending | None = None
        self.requests: list[LogicalRequest] = []
        self.misuses = 0
        self.pending: dict[asyncio.Task[Answer | None], Sent] = {}
        self.not_run: set[tuple[str, str]] = set()
        self.network = FakeNetwork(
            _COMPANIONS,
            self.clock,
            random.Random(0),
            lambda: self.deliveries.popleft() if self.deliveries else Delivery.DELIVER,
            lambda: self.ending,
            _LIMITS,
            timedelta(seconds=20),
        )

    def teardown(self) -> None:
        """Complete all requests, and check the invariants again."""
        for companion in self.network.companions:
            companion.resume()
        self.network.restore_links()
        self.ending = Ending.COMPLETE
        for _ in range(20):
            for execution in self.network.backend_servers.running:
                if not execution.ending.done():
                    execution.ending.set_result(Ending.COMPLETE)
            self._run(self.clock.async_advance(timedelta(seconds=5)))
        self.no_request_runs_twice()
        self.not_run_stays_true()
        for companion in self.network.companions:
            companion.kill()
        for task in self.pending:
            task.cancel()
        self._run(async_run_ready_tasks())
        self.loop.close()

    @initialize()
    def first_request(self) -> None:
        """Create the first request."""
        self.new_request(0)

    @rule(place=_PLACES)
    def new_request(self, place: int) -> None:
        """A caller creates a request with a ticket from an earlier answer."""
        ticket = self._at(place).issuer.issue_sealed()
        self.requests.append(LogicalRequest(f"r{len(self.requests)}", ticket))

    @rule(pick=_PICKS, route=_ROUTES, ending=_ENDINGS, deliveries=_DELIVERIES)
    def send(
        self, pick: int, route: int, ending: Ending | None, deliveries: list[Delivery]
    ) -> None:
        """A caller sends a request, for the first time or again."""
        request = self._pick(pick)
        request.sent.append(request.ticket)
        place = self._place(request.ticket, route)
        self._deliver(
            Sent(request, request.name, request.ticket, place), ending, deliveries
        )

    @precondition(lambda self: any(each.sent for each in self.requests[-4:]))
    @rule(pick=_PICKS, route=_ROUTES, ending=_ENDINGS)
    def repeat_old(self, pick: int, route: int, ending: Ending | None) -> None:
        """A duplicate of an old message arrives late at any companion."""
        sent = [
            Sent(each, each.name, ticket, self._place(ticket, route))
            for each in self.requests[-4:]
            for ticket in each.sent
        ]
        self._deliver(sent[pick % len(sent)], ending, [])

    @rule(pick=_PICKS, place=_PLACES)
    def misuse_ticket(self, pick: int, place: int) -> None:
        """A caller sends a different request under a ticket that is in use."""
        request = self._pick(pick)
        self.misuses += 1
        name = f"misuse-{self.misuses}"
        self._deliver(Sent(request, name, request.ticket, place), None, [])

    @precondition(lambda self: self.network.backend_servers.running)
    @rule(pick=_PICKS, ending=st.sampled_from([Ending.COMPLETE, Ending.BROKEN]))
    def end_execution(self, pick: int, ending: Ending) -> None:
        """A backend server ends a request."""
        running = self.network.backend_servers.running
        execution = running.pop(pick % len(running))
        if not execution.ending.done():
            execution.ending.set_result(ending)

    @rule(place=_PLACES, is_restarting=st.booleans())
    def kill(self, place: int, is_restarting: bool) -> None:
        """A companion is killed, and may restart with an empty ledger."""
        companion = self._at(place)
        companion.kill()
        if is_restarting:
            companion.restart()

    @rule(place=_PLACES)
    def pause_or_resume(self, place: int) -> None:
        """A companion is suspended, or resumes with the state that it had."""
        companion = self._at(place)
        if companion.is_paused:
            companion.resume()
        else:
            companion.pause()

    @rule(one=_PLACES, other=_PLACES)
    def cut_link(self, one: int, other: int) -> None:
        """Two companions lose their connection while both serve callers."""
        if one != other:
            self.network.cut_link(self._at(one), self._at(other))

    @rule()
    def restore_links(self) -> None:
        """All connections between companions are restored."""
        self.network.restore_links()

    @rule(place=_PLACES)
    def leave(self, place: int) -> None:
        """A companion starts leaving."""
        self._at(place).is_leaving = True

    @rule(seconds=st.sampled_from([0.1, 5, 25, 70]))
    def wait(self, seconds: float) -> None:
        """Time passes; deadlines and tickets expire."""
        self._run(self.clock.async_advance(timedelta(seconds=seconds)))

    @invariant()
    def no_request_runs_twice(self) -> None:
        """Each request ran at most once."""
        self._run(async_run_ready_tasks())
        self._collect()
        servers = self.network.backend_servers
        for execution in servers.executions:
            assert servers.count(execution.name) <= 1, f"{execution.name} ran twice"

    @invariant()
    def not_run_stays_true(self) -> None:
        """A request that was reported "not run" under a ticket never runs under it."""
        for execution in self.network.backend_servers.executions:
            execution_key = (execution.name, execution.attempt)
            assert execution_key not in self.not_run, (
                f"{execution.name} was reported not run"
            )

    def _at(self, place: int) -> FakeCompanion:
        """Return the companion with an index."""
        return self.network.companions[place]

    def _place(self, ticket: str, route: int) -> int:
        """Return where a message arrives: half go to the executor of the ticket."""
        if route < _COMPANIONS:
            return route
        named = self.network.sealer.open(ticket).unwrap().executor
        return next(
            place
            for place, companion in enumerate(self.network.companions)
            if companion.endpoint == named
        )

    def _pick(self, pick: int) -> LogicalRequest:
        """Return one of the latest four requests."""
        latest = self.requests[-4:]
        return latest[pick % len(latest)]

    def _run(self, work: object) -> None:
        """Run the event loop until an awaitable is done."""
        self.loop.run_until_complete(work)  # type: ignore[arg-type]

    def _deliver(
        self, sent: Sent, ending: Ending | None, deliveries: list[Delivery]
    ) -> None:
        """Deliver a message to its companion with the drawn faults."""
        self.ending = ending
        self.deliveries = deque(deliveries)
        work = self.network.async_send(self._at(sent.place), sent.name, sent.ticket)
        self.pending[self.loop.create_task(work)] = sent

    def _collect(self) -> None:
        """Check every answer that has arrived."""
        for task in [task for task in self.pending if task.done()]:
            sent = self.pending.pop(task)
            answer = task.result()
            if answer is not None:
                self._check(sent, answer)

    def _check(self, sent: Sent, answer: Answer) -> None:
        """Check one answer against the recorded executions."""
        ran = self.network.backend_servers.count(sent.name)
        if answer.refusal is None:
            assert ran == 1, f"{sent.name} was answered but ran {ran} times"
            self._run(self._async_check_complete(sent, answer))
            return
        outcome = answer.refusal.outcome
        assert outcome is not Outcome.RUN or ran == 1
        if outcome is not Outcome.NOT_RUN:
            return
        self.not_run.add((sent.name, sent.ticket))
        fresh = answer.header(TICKET_HEADER)
        assert fresh is not None, "not-run came without a fresh ticket"
        if sent.name == sent.request.name and sent.ticket == sent.request.ticket:
            sent.request.ticket = fresh

    async def _async_check_complete(self, sent: Sent, answer: Answer) -> None:
        """Check that an answer is complete and belongs to its request."""
        body = b"".join([chunk async for chunk in answer.body])
        assert body == answer_body(sent.name), f"{sent.name} got {body!r}"


OnceMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=40, deadline=None
)


class OnceMachineTest(OnceMachine.TestCase, unittest.TestCase):
    """Runs the machine."""

"""Companions in one process, joined by a network that a test breaks at will.

The ledgers, resolvers and delegations are the real ones; backend servers and
the network between companions are fakes. Requests and answers cross the network
in their real encoding, so that nothing travels which the wire would not carry.
"""

import asyncio
import enum
import random
from collections.abc import Awaitable, Callable, Iterable
from datetime import datetime, timedelta
from typing import Any, Final

import attrs
import yaml
from result import Err, Ok, Result

from harness.builders import document, token_keys
from harness.fake_backend_servers import ATTEMPT_HEADER, Ending, FakeBackendServers
from pomelotrail_companion.ledger import LedgerLimits, Once, ServicePeers
from pomelotrail_companion.ledger.const import TICKET_HEADER
from pomelotrail_companion.ledger.peers import (
    CompanionError,
    PeerCompanions,
    Query,
    Reach,
)
from pomelotrail_companion.ledger.resolver import Question
from pomelotrail_companion.ledger.wire import (
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)
from pomelotrail_companion.requests import (
    Answer,
    Dispatcher,
    Header,
    Request,
    RequestHandler,
)
from pomelotrail_companion.requests.messages import async_pieces
from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import ConfigurationCoordinator
from pomelotrail_core.configuration.source import Document
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.tickets import Executor, TicketIssuer, TicketSealer
from pomelotrail_core.timeline import Recorder

SERVICE: Final = "stock-ledger"
SERVICE_NUMBER: Final = 1


class Fate(enum.Enum):
    """What the network does with one message between companions."""

    DELIVER = "deliver"
    LOSE_REQUEST = "lose request"
    LOSE_ANSWER = "lose answer"
    DUPLICATE = "duplicate"
    CROSS = "cross"


class FakeCompanion:
    """One address where incarnations of a companion live and die."""

    def __init__(self, network: "FakeNetwork", endpoint: Endpoint) -> None:
        """Start the first incarnation."""
        self._network = network
        self.endpoint = endpoint
        self.is_alive = False
        self.is_leaving = False
        self.deaths: set[int] = set()
        self._unpaused = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.incarnation = 0
        self.restart()

    @property
    def is_paused(self) -> bool:
        """Tell whether the process stands still."""
        return not self._unpaused.is_set()

    def restart(self) -> None:
        """Start a new incarnation at the same address."""
        self.kill()
        network = self._network
        self.incarnation += 1
        executor = Executor(self.endpoint, self.incarnation, SERVICE_NUMBER)
        self.mint = TicketIssuer(executor, network.sealer, network.clock)
        recorder = Recorder(str(self.endpoint), "veraval", network.clock)
        clock = _PausedClock(self, network.clock)
        self.once = Once.build(
            self.mint,
            network.sealer,
            _FakePeers(network, self),
            ServicePeers(SERVICE, self.endpoint, network.coordinator, network.rng),
            lambda: self.is_leaving,
            _Paused(self, network.backend_servers),
            clock,
            recorder,
            network.limits,
        )
        self.handler: RequestHandler = Dispatcher(
            SERVICE, network.coordinator, clock, recorder, self.once.handler
        )
        self.is_alive = True
        self.is_leaving = False
        self._unpaused.set()

    def kill(self) -> None:
        """End the process without a warning; its memory is gone."""
        if not self.is_alive:
            return
        self.is_alive = False
        self.deaths.add(self.incarnation)
        self.once.executions.cancel()
        for task in self._tasks:
            task.cancel()

    def pause(self) -> None:
        """Stop the process; whatever it would send or receive waits."""
        self._unpaused.clear()

    def resume(self) -> None:
        """Let the process go on."""
        self._unpaused.set()

    async def async_unpaused(self) -> None:
        """Wait while the process stands still."""
        await self._unpaused.wait()

    async def async_inside(self, work: Awaitable[Any]) -> Any:
        """Do work inside the process; its death raises ``CompanionDied``.

        Work whose asker goes away is cancelled, as on a closed connection.
        """
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            await asyncio.wait({task})
        except asyncio.CancelledError:
            task.cancel()
            raise
        if task.cancelled():
            raise CompanionDied
        return task.result()


class CompanionDied(Exception):
    """The process died while it worked."""


class FakeNetwork:
    """Companions of one service and what happens to messages between them."""

    def __init__(
        self,
        size: int,
        clock: Clock,
        rng: random.Random,
        fate: Callable[[], Fate],
        decide: Callable[[], Ending | None],
        limits: LedgerLimits | None = None,
        deadline: timedelta = timedelta(seconds=30),
    ) -> None:
        """Start ``size`` companions whose messages meet the given fates."""
        self.clock = clock
        self.rng = rng
        self.fate = fate
        self.limits = limits
        self.sealer = TicketSealer(token_keys())
        self.backend_servers = FakeBackendServers(decide)
        self._cuts: set[frozenset[Endpoint]] = set()
        endpoints = [Endpoint(f"192.0.2.{number + 1}", 7001) for number in range(size)]
        recorder = Recorder("configuration", "veraval", clock)
        self.coordinator = ConfigurationCoordinator(recorder)
        text = _document(endpoints, deadline)
        assert self.coordinator.adopt_if_newer(Document(1, text), "test")
        self.companions = [FakeCompanion(self, each) for each in endpoints]

    def companion(self, endpoint: Endpoint) -> FakeCompanion:
        """Return the companion at an address."""
        return next(each for each in self.companions if each.endpoint == endpoint)

    def cut(self, one: FakeCompanion, other: FakeCompanion) -> None:
        """Let nothing pass between two companions."""
        self._cuts.add(frozenset({one.endpoint, other.endpoint}))

    def heal(self) -> None:
        """Let everything pass again."""
        self._cuts.clear()

    def is_cut(self, one: FakeCompanion, other: FakeCompanion) -> bool:
        """Tell whether nothing passes between two companions."""
        return frozenset({one.endpoint, other.endpoint}) in self._cuts

    async def async_send(
        self, companion: FakeCompanion, name: str, ticket: str | None
    ) -> Answer | None:
        """Send a caller's request; None when the companion dies first."""
        await companion.async_unpaused()
        if not companion.is_alive:
            return None
        request = caller_request(name, ticket)
        try:
            answer = await companion.async_inside(
                companion.handler.async_handle(request)
            )
            body = b"".join([piece async for piece in answer.body])
        except CompanionDied:
            return None
        await companion.async_unpaused()
        return attrs.evolve(answer, body=async_pieces(body))


class _PausedClock(Clock):
    """The clock of a process, whose timers stand still with it."""

    def __init__(self, companion: FakeCompanion, clock: Clock) -> None:
        """Follow ``clock``."""
        self._companion = companion
        self._clock = clock

    def now(self) -> datetime:
        """Return the time."""
        return self._clock.now()

    def monotonic(self) -> timedelta:
        """Return the time since the start."""
        return self._clock.monotonic()

    async def async_sleep(self, delay: timedelta) -> None:
        """Sleep, and wake up late from a pause."""
        await self._clock.async_sleep(delay)
        await self._companion.async_unpaused()


class _Paused(RequestHandler):
    """Holds what a paused companion would send to its backend server."""

    def __init__(self, companion: FakeCompanion, next_handler: RequestHandler) -> None:
        """Pass requests to ``next_handler``."""
        self._companion = companion
        self._next = next_handler

    async def async_handle(self, request: Request) -> Answer:
        """Run a request, waiting wherever the process stands still."""
        await self._companion.async_unpaused()
        answer = await self._next.async_handle(request)
        await self._companion.async_unpaused()
        return answer


class _FakePeers(PeerCompanions):
    """The messages that one companion sends to the others."""

    def __init__(self, network: FakeNetwork, source: FakeCompanion) -> None:
        """Send from ``source``."""
        self._network = network
        self._source = source

    async def async_resolve(
        self, endpoint: Endpoint, query: Query
    ) -> Result[Answer, CompanionError]:
        """Ask the executor of a ticket what became of it."""
        clock = self._network.clock

        async def async_ask(target: FakeCompanion) -> Answer:
            """Ask inside the target."""
            question = Question(
                self._network.sealer.open(query.ticket).unwrap(),
                query.ticket,
                query.fingerprint,
                clock.monotonic() + query.wait,
                query.request,
                query.hops,
            )
            answer = await target.once.resolver.async_resolve(question)
            return await _async_travel(answer, query.request)

        return await self._async_call(endpoint, async_ask)

    async def async_issue_ticket(
        self, endpoint: Endpoint, service: str
    ) -> Result[str, CompanionError]:
        """Ask a companion for a ticket of its own."""

        async def async_issue(target: FakeCompanion) -> str:
            """Issue inside the target."""
            return target.mint.issue_sealed()

        return await self._async_call(endpoint, async_issue)

    async def async_run(
        self, endpoint: Endpoint, request: Request
    ) -> Result[Answer, CompanionError]:
        """Hand a request over."""
        clock = self._network.clock
        head = encode_request(request, SERVICE, clock).request
        body = b"".join([piece async for piece in request.body])

        async def async_run(target: FakeCompanion) -> Answer:
            """Run inside the target."""
            received = decode_request(head, async_pieces(body), clock)
            answer = await target.handler.async_handle(received)
            return await _async_travel(answer, request.identifier)

        return await self._async_call(endpoint, async_run)

    async def _async_call(
        self, endpoint: Endpoint, work: Callable[[FakeCompanion], Awaitable[Any]]
    ) -> Result[Any, CompanionError]:
        """Carry a message there and its answer back, as its fate has it."""
        target = self._network.companion(endpoint)
        fate = self._network.fate()
        await self._source.async_unpaused()
        await target.async_unpaused()
        is_lost = fate is Fate.LOSE_REQUEST or not target.is_alive
        if is_lost or self._network.is_cut(self._source, target):
            return Err(CompanionError(endpoint, Reach.NOT_REACHED))
        try:
            if fate is Fate.DUPLICATE:
                await target.async_inside(work(target))
            result = await target.async_inside(work(target))
        except CompanionDied:
            return Err(CompanionError(endpoint, Reach.BROKE_OFF))
        await target.async_unpaused()
        await self._source.async_unpaused()
        is_lost = fate in (Fate.LOSE_ANSWER, Fate.CROSS) or not target.is_alive
        if is_lost or self._network.is_cut(self._source, target):
            return Err(CompanionError(endpoint, Reach.BROKE_OFF))
        return Ok(result)


async def _async_travel(answer: Answer, request_id: str) -> Answer:
    """Return an answer as it arrives over the wire."""
    body = b"".join([piece async for piece in answer.body])
    head = encode_answer(answer, request_id).answer
    return decode_answer(head, async_pieces(body))


def caller_request(name: str, ticket: str | None) -> Request:
    """Return a run-once request whose body is its name."""
    headers: Iterable[Header] = ()
    if ticket is not None:
        headers = (Header(TICKET_HEADER, ticket), Header(ATTEMPT_HEADER, ticket))
    return Request(
        identifier=f"flow-{name}",
        flow="flow",
        method="POST",
        path="/entries",
        headers=tuple(headers),
        body=async_pieces(name.encode()),
    )


def _document(endpoints: list[Endpoint], deadline: timedelta) -> str:
    """Return a configuration that lists the companions."""
    content = yaml.safe_load(document())
    service = content["services"][0]
    service["classes"] = [
        {
            "name": "post-entry",
            "method": "POST",
            "path": "/entries",
            "run_once": True,
            "target": {"within": "300 ms", "share": 0.99},
            "deadline": f"{deadline.total_seconds()} s",
        },
        *service["classes"],
    ]
    service["backend_servers"] = [
        {
            **service["backend_servers"][0],
            "name": f"ledger-{number}",
            "packets": f"{endpoint.host}:7000",
            "control": str(endpoint),
        }
        for number, endpoint in enumerate(endpoints)
    ]
    return yaml.safe_dump(content)

"""Companions in one process, connected by a network with injected faults.

The ledgers, resolvers and delegations are the real ones; backend servers and
the network between companions are fakes. Requests and answers are encoded and
decoded as on the wire, so that data without an encoding is missing here too.
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
from pomelotrail_companion.ledger import LedgerLimits, RunOnceComponents, ServicePeers
from pomelotrail_companion.ledger.const import TICKET_HEADER
from pomelotrail_companion.ledger.peers import (
    CompanionError,
    FailureReason,
    PeerCompanions,
    PeerQuery,
)
from pomelotrail_companion.ledger.resolver import TicketQuery
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
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import ConfigurationCoordinator
from pomelotrail_core.configuration.source import Document
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.tickets import Executor, TicketIssuer, TicketSealer
from pomelotrail_core.timeline import Recorder

SERVICE: Final = "stock-ledger"
SERVICE_NUMBER: Final = 1


class Delivery(enum.Enum):
    """How the network handles one message between companions."""

    DELIVER = "deliver"
    LOSE_REQUEST = "lose request"
    LOSE_ANSWER = "lose answer"
    DUPLICATE = "duplicate"
    MISMATCH_ANSWER = "cross"


class FakeCompanion:
    """A companion address with one incarnation after the other."""

    def __init__(self, network: "FakeNetwork", endpoint: Endpoint) -> None:
        """Start the first incarnation."""
        self._network = network
        self.endpoint = endpoint
        self.is_running = False
        self.is_leaving = False
        self.killed_incarnations: set[int] = set()
        self._resumed = asyncio.Event()
        self._tasks: set[asyncio.Task[Any]] = set()
        self.incarnation = 0
        self.restart()

    @property
    def is_paused(self) -> bool:
        """Return whether the process is suspended."""
        return not self._resumed.is_set()

    def restart(self) -> None:
        """Start a new incarnation at the same address."""
        self.kill()
        network = self._network
        self.incarnation += 1
        executor = Executor(self.endpoint, self.incarnation, SERVICE_NUMBER)
        self.issuer = TicketIssuer(executor, network.sealer, network.clock)
        recorder = Recorder(str(self.endpoint), "veraval", network.clock)
        clock = _PausableClock(self, network.clock)
        self.once = RunOnceComponents.build(
            self.issuer,
            network.sealer,
            _FakePeers(network, self),
            ServicePeers(SERVICE, self.endpoint, network.coordinator, network.rng),
            lambda: self.is_leaving,
            _PausableHandler(self, network.backend_servers),
            clock,
            recorder,
            network.limits,
        )
        self.handler: RequestHandler = Dispatcher(
            SERVICE, network.coordinator, clock, recorder, self.once.handler
        )
        self.is_running = True
        self.is_leaving = False
        self._resumed.set()

    def kill(self) -> None:
        """Kill the process without notice; its state in memory is lost."""
        if not self.is_running:
            return
        self.is_running = False
        self.killed_incarnations.add(self.incarnation)
        self.once.executions.cancel()
        for task in self._tasks:
            task.cancel()

    def pause(self) -> None:
        """Suspend the process; everything that it sends or receives is delayed."""
        self._resumed.clear()

    def resume(self) -> None:
        """Resume the process."""
        self._resumed.set()

    async def async_wait_until_resumed(self) -> None:
        """Wait while the process is suspended."""
        await self._resumed.wait()

    async def async_run_in_process(self, work: Awaitable[Any]) -> Any:
        """Run work in the process; raise ``CompanionKilledError`` if it is killed.

        The work is cancelled with its caller, as on a closed connection.
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
            raise CompanionKilledError
        return task.result()


class CompanionKilledError(Exception):
    """The process was killed while it worked."""


class FakeNetwork:
    """Companions of one service and the network between them."""

    def __init__(
        self,
        size: int,
        clock: Clock,
        rng: random.Random,
        choose_delivery: Callable[[], Delivery],
        choose_ending: Callable[[], Ending | None],
        limits: LedgerLimits | None = None,
        deadline: timedelta = timedelta(seconds=30),
    ) -> None:
        """Start ``size`` companions; ``choose_delivery`` is called per message."""
        self.clock = clock
        self.rng = rng
        self.choose_delivery = choose_delivery
        self.limits = limits
        self.sealer = TicketSealer(token_keys())
        self.backend_servers = FakeBackendServers(choose_ending)
        self._cut_links: set[frozenset[Endpoint]] = set()
        endpoints = [Endpoint(f"192.0.2.{number + 1}", 7001) for number in range(size)]
        recorder = Recorder("configuration", "veraval", clock)
        self.coordinator = ConfigurationCoordinator(recorder)
        text = _document(endpoints, deadline)
        assert self.coordinator.adopt_if_newer(Document(1, text), "test")
        self.companions = [FakeCompanion(self, each) for each in endpoints]

    def companion(self, endpoint: Endpoint) -> FakeCompanion:
        """Return the companion at an address."""
        return next(each for each in self.companions if each.endpoint == endpoint)

    def cut_link(self, one: FakeCompanion, other: FakeCompanion) -> None:
        """Drop all messages between two companions."""
        self._cut_links.add(frozenset({one.endpoint, other.endpoint}))

    def restore_links(self) -> None:
        """Deliver messages between all companions again."""
        self._cut_links.clear()

    def is_link_cut(self, one: FakeCompanion, other: FakeCompanion) -> bool:
        """Return whether messages between two companions are dropped."""
        return frozenset({one.endpoint, other.endpoint}) in self._cut_links

    async def async_send(
        self, companion: FakeCompanion, name: str, ticket: str | None
    ) -> Answer | None:
        """Send a caller's request; None if the companion is killed first."""
        await companion.async_wait_until_resumed()
        if not companion.is_running:
            return None
        request = caller_request(name, ticket)
        try:
            answer = await companion.async_run_in_process(
                companion.handler.async_handle(request)
            )
            body = b"".join([chunk async for chunk in answer.body])
        except CompanionKilledError:
            return None
        await companion.async_wait_until_resumed()
        return attrs.evolve(answer, body=async_chunks(body))


class _PausableClock(Clock):
    """The clock of a process; its sleeps are extended while it is suspended."""

    def __init__(self, companion: FakeCompanion, clock: Clock) -> None:
        """Use the time of ``clock``."""
        self._companion = companion
        self._clock = clock

    def now(self) -> datetime:
        """Return the time."""
        return self._clock.now()

    def monotonic(self) -> timedelta:
        """Return the time since the start."""
        return self._clock.monotonic()

    async def async_sleep(self, delay: timedelta) -> None:
        """Sleep, and return after the process is resumed."""
        await self._clock.async_sleep(delay)
        await self._companion.async_wait_until_resumed()


class _PausableHandler(RequestHandler):
    """Delays requests to the backend server while the companion is suspended."""

    def __init__(self, companion: FakeCompanion, next_handler: RequestHandler) -> None:
        """Pass requests to ``next_handler``."""
        self._companion = companion
        self._next = next_handler

    async def async_handle(self, request: Request) -> Answer:
        """Run a request, waiting before and after it while the process is suspended."""
        await self._companion.async_wait_until_resumed()
        answer = await self._next.async_handle(request)
        await self._companion.async_wait_until_resumed()
        return answer


class _FakePeers(PeerCompanions):
    """Messages from one companion to the others."""

    def __init__(self, network: FakeNetwork, source: FakeCompanion) -> None:
        """Send from ``source``."""
        self._network = network
        self._source = source

    async def async_resolve(
        self, endpoint: Endpoint, query: PeerQuery
    ) -> Result[Answer, CompanionError]:
        """Query the executor of a ticket for its state."""
        clock = self._network.clock

        async def async_query(target: FakeCompanion) -> Answer:
            """Resolve the query in the target process."""
            received = TicketQuery(
                self._network.sealer.open(query.ticket).unwrap(),
                query.ticket,
                query.fingerprint,
                clock.monotonic() + query.wait,
                query.request,
                query.hops,
            )
            answer = await target.once.resolver.async_resolve(received)
            return await _async_transmit(answer, query.request)

        return await self._async_call(endpoint, async_query)

    async def async_issue_ticket(
        self, endpoint: Endpoint, service: str
    ) -> Result[str, CompanionError]:
        """Request a ticket that a companion issues."""

        async def async_issue(target: FakeCompanion) -> str:
            """Issue the ticket in the target process."""
            return target.issuer.issue_sealed()

        return await self._async_call(endpoint, async_issue)

    async def async_run(
        self, endpoint: Endpoint, request: Request
    ) -> Result[Answer, CompanionError]:
        """Hand a request over to another companion."""
        clock = self._network.clock
        head = encode_request(request, SERVICE, clock).request
        body = b"".join([chunk async for chunk in request.body])

        async def async_run(target: FakeCompanion) -> Answer:
            """Run the request in the target process."""
            received = decode_request(head, async_chunks(body), clock)
            answer = await target.handler.async_handle(received)
            return await _async_transmit(answer, request.identifier)

        return await self._async_call(endpoint, async_run)

    async def _async_call(
        self, endpoint: Endpoint, work: Callable[[FakeCompanion], Awaitable[Any]]
    ) -> Result[Any, CompanionError]:
        """Transmit a message and its answer, with the chosen kind of delivery."""
        target = self._network.companion(endpoint)
        delivery = self._network.choose_delivery()
        await self._source.async_wait_until_resumed()
        await target.async_wait_until_resumed()
        is_lost = delivery is Delivery.LOSE_REQUEST or not target.is_running
        if is_lost or self._network.is_link_cut(self._source, target):
            return Err(CompanionError(endpoint, FailureReason.NOT_REACHED))
        try:
            if delivery is Delivery.DUPLICATE:
                await target.async_run_in_process(work(target))
            result = await target.async_run_in_process(work(target))
        except CompanionKilledError:
            return Err(CompanionError(endpoint, FailureReason.BROKE_OFF))
        await target.async_wait_until_resumed()
        await self._source.async_wait_until_resumed()
        is_lost = (
            delivery in (Delivery.LOSE_ANSWER, Delivery.MISMATCH_ANSWER)
            or not target.is_running
        )
        if is_lost or self._network.is_link_cut(self._source, target):
            return Err(CompanionError(endpoint, FailureReason.BROKE_OFF))
        return Ok(result)


async def _async_transmit(answer: Answer, request_id: str) -> Answer:
    """Return an answer as decoded from its encoding on the wire."""
    body = b"".join([chunk async for chunk in answer.body])
    head = encode_answer(answer, request_id).answer
    return decode_answer(head, async_chunks(body))


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
        body=async_chunks(name.encode()),
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

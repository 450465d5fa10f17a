"""Duplicate executions and false "not run" under faults, with a baseline.

Callers send run-once requests and retry them at any companion, while companions are
killed, restarted, suspended and disconnected from each other, and their messages are
lost, duplicated, swapped or delayed. The ledgers are the real ones; time is simulated.
The baseline runs under the same faults: each companion deduplicates separately, by the
caller's own key.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Final

import attrs

from harness.fake_backend_servers import Ending, answer_body
from harness.fake_clock import FakeClock, async_run_ready_tasks
from harness.fake_companions import Delivery, FakeCompanion, FakeNetwork
from measurements.interface import Figures, MeasurementOptions
from pomelotrail_companion.ledger.const import TICKET_HEADER
from pomelotrail_companion.requests import Answer, Outcome, Request, RequestHandler
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_core.tickets import Ticket

COMPANIONS: Final = 7
REQUESTS: Final = 4_000
QUICK_REQUESTS: Final = 1_500
CALLERS: Final = 20
MAX_ATTEMPTS: Final = 600
CALLER_TIMEOUT: Final = timedelta(seconds=2)
RETRY_DELAY: Final = timedelta(seconds=1)
STEP: Final = timedelta(milliseconds=250)
MEAN_EXECUTION_STEPS: Final = 3
LOST_ANSWER_SHARE: Final = 0.05
MESSAGE_FAULT_SHARE: Final = 0.10
SHED_REQUEST_SHARE: Final = 0.05
DUPLICATE_SHARE: Final = 0.10
COMPANION_FAULT_SHARE: Final = 0.15


@attrs.define
class RequestCounts:
    """Outcomes of the logical requests of one run."""

    answered: int = 0
    given_up: int = 0
    unknown: int = 0
    unknown_with_live_executor: int = 0
    wrong_answers: int = 0
    not_run: set[tuple[str, str]] = attrs.Factory(set)


class LedgerRun:
    """Run of callers against a fleet under faults."""

    def __init__(self, seed: int, requests: int, is_baseline: bool) -> None:
        """Initialize; equal seeds give equal faults."""
        self._rng = random.Random(seed)
        self._fault_rng = random.Random(seed + 1)
        self._clock = FakeClock()
        self._request_names = iter([f"r{number}" for number in range(requests)])
        self._is_baseline = is_baseline
        self._background: set[asyncio.Task[object]] = set()
        self.counts = RequestCounts()
        self.network = FakeNetwork(
            COMPANIONS,
            self._clock,
            self._rng,
            self._choose_delivery,
            self._choose_ending,
        )

    async def async_run(self) -> None:
        """Run all callers to their end while faults occur."""
        callers = [
            asyncio.create_task(self._async_run_caller()) for _ in range(CALLERS)
        ]
        while not all(caller.done() for caller in callers):
            self._inject_companion_fault()
            self._complete_executions()
            await self._clock.async_advance(STEP)
        for companion in self.network.companions:
            companion.resume()
        self.network.restore_links()
        for _ in range(40):
            self._complete_executions()
            await self._clock.async_advance(STEP)
        for caller in callers:
            caller.result()
        for task in self._background:
            task.cancel()
        await async_run_ready_tasks()

    @property
    def duplicate_executions(self) -> int:
        """Return the number of logical requests executed more than once."""
        names = [each.name for each in self.network.backend_servers.executions]
        return len({name for name in names if names.count(name) > 1})

    @property
    def false_not_run(self) -> int:
        """Return the number of attempts reported as "not run" but executed."""
        executions = self.network.backend_servers.executions
        executed = {(each.name, each.attempt) for each in executions}
        return len(executed & self.counts.not_run)

    async def _async_run_caller(self) -> None:
        """Send requests one after another, as one caller."""
        for name in self._request_names:
            await self._async_send_request(name)

    async def _async_send_request(self, name: str) -> None:
        """Send a request until its outcome is known or final."""
        ticket = self._get_first_ticket(name)
        companion = self._rng.choice(self.network.companions)
        for _ in range(MAX_ATTEMPTS):
            answer = await self._async_attempt(companion, name, ticket)
            if answer is None:
                companion = self._rng.choice(self.network.companions)
            refusal = answer.refusal if answer is not None else None
            if answer is not None and refusal is None:
                await self._async_count_answer(name, answer)
                return
            if refusal is not None and refusal.outcome is Outcome.RUN:
                self.counts.answered += 1
                return
            if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
                assert answer is not None
                self.counts.not_run.add((name, ticket))
                ticket = answer.header(TICKET_HEADER) or ticket
            elif refusal is not None and refusal.retry_after is None:
                break
            await self._clock.async_sleep(RETRY_DELAY)
        if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
            self.counts.given_up += 1
            return
        self.counts.unknown += 1
        if not self._is_executor_gone(ticket):
            self.counts.unknown_with_live_executor += 1

    async def _async_attempt(
        self, companion: FakeCompanion, name: str, ticket: str
    ) -> Answer | None:
        """Send a request once; a share of them is duplicated with a delay.

        Return None if no answer arrived; the caller then uses another companion.
        """
        if self._rng.random() < DUPLICATE_SHARE:
            self._spawn(self._async_deliver_duplicate(name, ticket))
        sending = asyncio.create_task(self.network.async_send(companion, name, ticket))
        timeout = asyncio.create_task(self._clock.async_sleep(CALLER_TIMEOUT))
        await asyncio.wait({sending, timeout}, return_when="FIRST_COMPLETED")
        timeout.cancel()
        if not sending.done():
            sending.cancel()
            return None
        return None if self._rng.random() < LOST_ANSWER_SHARE else sending.result()

    async def _async_deliver_duplicate(self, name: str, ticket: str) -> None:
        """Deliver a delayed duplicate of a request to a random companion."""
        delay = timedelta(seconds=self._rng.uniform(0, 30))
        await self._clock.async_sleep(delay)
        companion = self._rng.choice(self.network.companions)
        answer = await self.network.async_send(companion, name, ticket)
        refusal = answer.refusal if answer is not None else None
        if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
            self.counts.not_run.add((name, ticket))

    async def _async_count_answer(self, name: str, answer: Answer) -> None:
        """Count an answer, and whether it is the complete one to its request."""
        body = b"".join([chunk async for chunk in answer.body])
        self.counts.answered += 1
        self.counts.wrong_answers += body != answer_body(name)

    def _get_first_ticket(self, name: str) -> str:
        """Return a ticket from an earlier answer, or the caller's own key."""
        if self._is_baseline:
            return name
        alive = [each for each in self.network.companions if each.is_running]
        return self._rng.choice(alive or self.network.companions).issuer.issue_sealed()

    def _is_executor_gone(self, sealed: str) -> bool:
        """Return whether the executor of a ticket or of its delegation is gone."""
        if self._is_baseline:
            return False
        ticket: Ticket = self.network.sealer.open(sealed).unwrap()
        companion = self.network.companion(ticket.executor)
        if ticket.incarnation in companion.killed_incarnations:
            return True
        entry = companion.once.ledger._entries.get(ticket)
        if entry is None or entry.delegation_target is None:
            return False
        return self._is_executor_gone(entry.delegation_target.ticket)

    def _choose_delivery(self) -> Delivery:
        """Return how the next message between companions is delivered."""
        if self._rng.random() >= MESSAGE_FAULT_SHARE:
            return Delivery.DELIVER
        return self._rng.choice(
            [each for each in Delivery if each is not Delivery.DELIVER]
        )

    def _choose_ending(self) -> Ending | None:
        """Return ``SHED`` for a share of requests, otherwise None."""
        return Ending.SHED if self._rng.random() < SHED_REQUEST_SHARE else None

    def _complete_executions(self) -> None:
        """Complete a random share of the running executions."""
        running = self.network.backend_servers.running
        for execution in list(running):
            if self._rng.random() < 1 / MEAN_EXECUTION_STEPS:
                running.remove(execution)
                if not execution.ending.done():
                    execution.ending.set_result(Ending.COMPLETE)

    def _inject_companion_fault(self) -> None:
        """Inject a random fault into a companion, or end a fault."""
        rng = self._fault_rng
        if rng.random() >= COMPANION_FAULT_SHARE:
            return
        companion, other = rng.sample(self.network.companions, 2)
        faults: list[Callable[[], None]] = [
            companion.kill,
            lambda: self._restart(companion),
            lambda: self._restart(companion),
            companion.pause,
            companion.resume,
            companion.resume,
            lambda: self.network.cut_link(companion, other),
            self.network.restore_links,
            lambda: setattr(companion, "is_leaving", True),
        ]
        rng.choice(faults)()

    def _restart(self, companion: FakeCompanion) -> None:
        """Restart a companion that was killed or is draining."""
        if companion.is_running and not companion.is_leaving:
            return
        companion.restart()
        if self._is_baseline:
            companion.handler = BaselineHandler(companion)

    def _spawn(self, coroutine: object) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)  # type: ignore[arg-type]
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def use_baseline(self) -> None:
        """Replace the handlers of all companions with the baseline."""
        for companion in self.network.companions:
            companion.handler = BaselineHandler(companion)


class BaselineHandler(RequestHandler):
    """Executes each request that is new to this companion, on its own."""

    def __init__(self, companion: FakeCompanion) -> None:
        """Initialize with the backend server of a companion."""
        self._next = companion.once.executions._next
        self._answers: dict[str, asyncio.Task[Answer]] = {}

    async def async_handle(self, request: Request) -> Answer:
        """Execute a request, or return the answer of its earlier execution."""
        key = request.header(TICKET_HEADER) or ""
        task = self._answers.get(key)
        if task is None:
            task = asyncio.create_task(self._next.async_handle(request))
            self._answers[key] = task
        answer = await asyncio.shield(task)
        if answer.refusal is not None:
            self._answers.pop(key, None)
            return answer
        return attrs.evolve(answer, body=async_chunks(answer_body(key)))


async def async_measure(options: MeasurementOptions) -> Figures:
    """Measure the ledgers, then the baseline, under the same faults."""
    requests = QUICK_REQUESTS if options.quick else REQUESTS
    run = LedgerRun(options.seed, requests, is_baseline=False)
    await run.async_run()
    baseline = LedgerRun(options.seed, requests, is_baseline=True)
    baseline.use_baseline()
    await baseline.async_run()
    counts = run.counts
    return {
        "requests": requests,
        "doubled": run.duplicate_executions,
        "false_not_run": run.false_not_run,
        "wrong_answers": counts.wrong_answers,
        "answered": round(counts.answered / requests, 4),
        "given_up_not_run": round(counts.given_up / requests, 4),
        "unknown": round(counts.unknown / requests, 4),
        "unknown_with_live_executor": counts.unknown_with_live_executor,
        "baseline_doubled": baseline.duplicate_executions,
        "baseline_answered": round(baseline.counts.answered / requests, 4),
        "baseline_unknown": round(baseline.counts.unknown / requests, 4),
    }

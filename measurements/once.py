"""Doubled requests and false "not run" under faults, beside a baseline.

Callers send requests that must run once and retry them at any companion, while
companions are killed, restarted, paused and cut off from each other, and their
messages are lost, duplicated, crossed or late. The ledgers are the real ones;
time is simulated. The baseline meets the same faults: each companion alone
deduplicates by the caller's own key.
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Final

import attrs

from harness.fake_backend_servers import Ending, answer_body
from harness.fake_clock import FakeClock, async_settle
from harness.fake_companions import FakeCompanion, FakeNetwork, Fate
from measurements.interface import Figures, MeasurementOptions
from pomelotrail_companion.ledger.const import TICKET_HEADER
from pomelotrail_companion.requests import Answer, Outcome, Request, RequestHandler
from pomelotrail_companion.requests.messages import async_pieces
from pomelotrail_core.tickets import Ticket

COMPANIONS: Final = 7
REQUESTS: Final = 4_000
QUICK_REQUESTS: Final = 1_500
CALLERS: Final = 20
ATTEMPTS: Final = 600
CALLER_PATIENCE: Final = timedelta(seconds=2)
RETRY_PAUSE: Final = timedelta(seconds=1)
STEP: Final = timedelta(milliseconds=250)
WORK_STEPS: Final = 3
LOST_SHARE: Final = 0.05
FAULT_SHARE: Final = 0.10
SHED_SHARE: Final = 0.05
REPEAT_SHARE: Final = 0.10
TROUBLE_SHARE: Final = 0.15


@attrs.define
class Tally:
    """What became of the logical requests of one run."""

    answered: int = 0
    given_up: int = 0
    unknown: int = 0
    unknown_with_live_executor: int = 0
    wrong_answers: int = 0
    not_run: set[tuple[str, str]] = attrs.Factory(set)


class Run:
    """One run of callers against a fleet under faults."""

    def __init__(self, seed: int, requests: int, is_baseline: bool) -> None:
        """Plan a run; equal seeds meet equal troubles."""
        self._rng = random.Random(seed)
        self._trouble_rng = random.Random(seed + 1)
        self._clock = FakeClock()
        self._names = iter([f"r{number}" for number in range(requests)])
        self._is_baseline = is_baseline
        self._background: set[asyncio.Task[object]] = set()
        self.tally = Tally()
        self.network = FakeNetwork(
            COMPANIONS, self._clock, self._rng, self._fate, self._decide
        )

    async def async_run(self) -> None:
        """Let every caller finish while troubles come and go."""
        callers = [asyncio.create_task(self._async_call()) for _ in range(CALLERS)]
        while not all(caller.done() for caller in callers):
            self._trouble()
            self._work()
            await self._clock.async_advance(STEP)
        for companion in self.network.companions:
            companion.resume()
        self.network.heal()
        for _ in range(40):
            self._work()
            await self._clock.async_advance(STEP)
        for caller in callers:
            caller.result()
        for task in self._background:
            task.cancel()
        await async_settle()

    @property
    def doubled(self) -> int:
        """Return how many logical requests ran more than once."""
        names = [each.name for each in self.network.backend_servers.executions]
        return len({name for name in names if names.count(name) > 1})

    @property
    def false_not_run(self) -> int:
        """Return how many attempts were called "not run" and ran all the same."""
        executions = self.network.backend_servers.executions
        ran = {(each.name, each.attempt) for each in executions}
        return len(ran & self.tally.not_run)

    async def _async_call(self) -> None:
        """Send one request after another, as one caller."""
        for name in self._names:
            await self._async_request(name)

    async def _async_request(self, name: str) -> None:
        """Send a request until its outcome is known or final."""
        ticket = self._first_ticket(name)
        companion = self._rng.choice(self.network.companions)
        for _ in range(ATTEMPTS):
            answer = await self._async_attempt(companion, name, ticket)
            if answer is None:
                companion = self._rng.choice(self.network.companions)
            refusal = answer.refusal if answer is not None else None
            if answer is not None and refusal is None:
                await self._async_count_answer(name, answer)
                return
            if refusal is not None and refusal.outcome is Outcome.RUN:
                self.tally.answered += 1
                return
            if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
                assert answer is not None
                self.tally.not_run.add((name, ticket))
                ticket = answer.header(TICKET_HEADER) or ticket
            elif refusal is not None and refusal.retry_after is None:
                break
            await self._clock.async_sleep(RETRY_PAUSE)
        if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
            self.tally.given_up += 1
            return
        self.tally.unknown += 1
        if not self._has_died(ticket):
            self.tally.unknown_with_live_executor += 1

    async def _async_attempt(
        self, companion: FakeCompanion, name: str, ticket: str
    ) -> Answer | None:
        """Send once; now and then a copy arrives elsewhere and late.

        None means that no answer came and the caller takes another flow.
        """
        if self._rng.random() < REPEAT_SHARE:
            self._spawn(self._async_repeat(name, ticket))
        sending = asyncio.create_task(self.network.async_send(companion, name, ticket))
        patience = asyncio.create_task(self._clock.async_sleep(CALLER_PATIENCE))
        await asyncio.wait({sending, patience}, return_when="FIRST_COMPLETED")
        patience.cancel()
        if not sending.done():
            sending.cancel()
            return None
        return None if self._rng.random() < LOST_SHARE else sending.result()

    async def _async_repeat(self, name: str, ticket: str) -> None:
        """Deliver a late copy of a message."""
        delay = timedelta(seconds=self._rng.uniform(0, 30))
        await self._clock.async_sleep(delay)
        companion = self._rng.choice(self.network.companions)
        answer = await self.network.async_send(companion, name, ticket)
        refusal = answer.refusal if answer is not None else None
        if refusal is not None and refusal.outcome is Outcome.NOT_RUN:
            self.tally.not_run.add((name, ticket))

    async def _async_count_answer(self, name: str, answer: Answer) -> None:
        """Count an answer, and whether it is the whole one to its request."""
        body = b"".join([piece async for piece in answer.body])
        self.tally.answered += 1
        self.tally.wrong_answers += body != answer_body(name)

    def _first_ticket(self, name: str) -> str:
        """Return a ticket from an earlier answer, or the caller's own key."""
        if self._is_baseline:
            return name
        alive = [each for each in self.network.companions if each.is_alive]
        return self._rng.choice(alive or self.network.companions).mint.issue_sealed()

    def _has_died(self, sealed: str) -> bool:
        """Tell whether the executor of a ticket, or one it points to, has died."""
        if self._is_baseline:
            return False
        ticket: Ticket = self.network.sealer.open(sealed).unwrap()
        companion = self.network.companion(ticket.executor)
        if ticket.incarnation in companion.deaths:
            return True
        entry = companion.once.ledger._entries.get(ticket)
        if entry is None or entry.pointer is None:
            return False
        return self._has_died(entry.pointer.ticket)

    def _fate(self) -> Fate:
        """Return the fate of the next message between companions."""
        if self._rng.random() >= FAULT_SHARE:
            return Fate.DELIVER
        return self._rng.choice([each for each in Fate if each is not Fate.DELIVER])

    def _decide(self) -> Ending | None:
        """Shed some requests; the others take some time."""
        return Ending.SHED if self._rng.random() < SHED_SHARE else None

    def _work(self) -> None:
        """Let the backend servers end what has run for a while."""
        running = self.network.backend_servers.running
        for execution in list(running):
            if self._rng.random() < 1 / WORK_STEPS:
                running.remove(execution)
                if not execution.ending.done():
                    execution.ending.set_result(Ending.WHOLE)

    def _trouble(self) -> None:
        """Let one companion come to grief, or recover."""
        rng = self._trouble_rng
        if rng.random() >= TROUBLE_SHARE:
            return
        companion, other = rng.sample(self.network.companions, 2)
        troubles: list[Callable[[], None]] = [
            companion.kill,
            lambda: self._restart(companion),
            lambda: self._restart(companion),
            companion.pause,
            companion.resume,
            companion.resume,
            lambda: self.network.cut(companion, other),
            self.network.heal,
            lambda: setattr(companion, "is_leaving", True),
        ]
        rng.choice(troubles)()

    def _restart(self, companion: FakeCompanion) -> None:
        """Start a dead or leaving companion anew."""
        if companion.is_alive and not companion.is_leaving:
            return
        companion.restart()
        if self._is_baseline:
            companion.handler = BaselineHandler(companion)

    def _spawn(self, work: object) -> None:
        """Run work beside the callers."""
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def use_baseline(self) -> None:
        """Replace the handlers of all companions by the baseline."""
        for companion in self.network.companions:
            companion.handler = BaselineHandler(companion)


class BaselineHandler(RequestHandler):
    """Runs what this companion has not seen, whatever the others did."""

    def __init__(self, companion: FakeCompanion) -> None:
        """Run by the backend server of a companion."""
        self._next = companion.once.executions._next
        self._answers: dict[str, asyncio.Task[Answer]] = {}

    async def async_handle(self, request: Request) -> Answer:
        """Run a request, or return the answer of the earlier run."""
        key = request.header(TICKET_HEADER) or ""
        task = self._answers.get(key)
        if task is None:
            task = asyncio.create_task(self._next.async_handle(request))
            self._answers[key] = task
        answer = await asyncio.shield(task)
        if answer.refusal is not None:
            self._answers.pop(key, None)
            return answer
        return attrs.evolve(answer, body=async_pieces(answer_body(key)))


async def async_measure(options: MeasurementOptions) -> Figures:
    """Measure the ledgers, then the baseline, under the same troubles."""
    requests = QUICK_REQUESTS if options.quick else REQUESTS
    run = Run(options.seed, requests, is_baseline=False)
    await run.async_run()
    baseline = Run(options.seed, requests, is_baseline=True)
    baseline.use_baseline()
    await baseline.async_run()
    tally = run.tally
    return {
        "requests": requests,
        "doubled": run.doubled,
        "false_not_run": run.false_not_run,
        "wrong_answers": tally.wrong_answers,
        "answered": round(tally.answered / requests, 4),
        "given_up_not_run": round(tally.given_up / requests, 4),
        "unknown": round(tally.unknown / requests, 4),
        "unknown_with_live_executor": tally.unknown_with_live_executor,
        "baseline_doubled": baseline.doubled,
        "baseline_answered": round(baseline.tally.answered / requests, 4),
        "baseline_unknown": round(baseline.tally.unknown / requests, 4),
    }

"""Property tests of the invariants of admission control."""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator
from datetime import timedelta

import attrs
from hypothesis import example, given, settings
from hypothesis import strategies as st

from harness.fake_clock import FakeClock, async_run_ready_tasks
from harness.simulation import SimulatedServer, Simulation
from pomelotrail_companion.admission import AdaptiveLimit, ColdEvidence, FixedLimit
from pomelotrail_companion.admission.class_state import DecayingSum
from pomelotrail_companion.admission.const import GROWTH_COMPLETIONS, TARGET_HALF_LIFE
from pomelotrail_companion.requests.refusals import OUTCOME_HEADER
from pomelotrail_core.configuration import RequestClass
from stand_ins.backend_server.capacity import Capacity

from .builders import CHART, ENTRY, FakeBackend, async_read, gate, recorder, request

_WORK = timedelta(milliseconds=100)
_SERVICE_TIMES_KNOWN = timedelta(seconds=5)
_END = timedelta(seconds=20)


@attrs.frozen
class ColdMoment:
    """When a server turns cold, and whether it reports that."""

    at: float
    is_announced: bool


_MOMENTS = st.lists(
    st.builds(ColdMoment, st.floats(0.5, 19), st.booleans()), max_size=3
)


class ServerRun:
    """Requests at random times to one simulated server."""

    def __init__(self, seed: int, slots: int, warm_up: int, sheds: bool) -> None:
        """Create a companion with a cold server."""
        self.simulation = Simulation()
        self.rng = random.Random(seed)
        self.limits: set[int] = set()
        limit = AdaptiveLimit(slots, self.simulation, recorder(self.simulation))
        self.server = SimulatedServer(
            self.simulation, limit, Capacity(slots, warm_up), self.rng, sheds
        )

    def offer_repeatedly(
        self, rate: float, kind: RequestClass, work: timedelta
    ) -> None:
        """Offer requests of a class repeatedly at a rate per second."""
        self.limits.add(self.server.limit.limit)
        self.server.offer(kind, work * self.rng.uniform(0.5, 1.5))
        delay = timedelta(seconds=self.rng.expovariate(rate))
        self.simulation.call_later(
            delay, lambda: self.offer_repeatedly(rate, kind, work)
        )

    def schedule_cold(self, moment: ColdMoment) -> None:
        """Schedule a time at which the server turns cold."""

        def turn() -> None:
            """Turn cold and report that if it is announced."""
            self.server.reset_to_cold()
            if moment.is_announced:
                self.server.scheduler.handle_evidence(ColdEvidence.REPORTED)
                self.server.record_cold_known()

        self.simulation.call_later(timedelta(seconds=moment.at), turn)


class ColdServerTest(unittest.TestCase):
    """A cold backend server gets no more requests than it can handle."""

    @settings(max_examples=40)
    @example(1, 5, 0.5, 1.0, False, [ColdMoment(12, False), ColdMoment(15, False)])
    @given(
        st.integers(0, 10_000),
        st.integers(2, 8),
        st.floats(0.0, 1.0),
        st.floats(0.3, 3.0),
        st.booleans(),
        _MOMENTS,
    )
    def test_cold_server_is_not_overrun(
        self,
        seed: int,
        slots: int,
        warmth: float,
        load: float,
        sheds: bool,
        moments: list[ColdMoment],
    ) -> None:
        """The server turns cold at any time, announced or not, also under overload."""
        warm_up = int(warmth * GROWTH_COMPLETIONS * (slots - 1))
        run = ServerRun(seed, slots, warm_up, sheds)
        for moment in moments:
            run.schedule_cold(moment)
        rate = load * slots / _WORK.total_seconds()
        run.offer_repeatedly(rate, ENTRY, _WORK)
        run.offer_repeatedly(rate / 10, CHART, _WORK)
        run.simulation.run_until(_END)
        self.assertEqual(run.server.overruns, 0)
        self.assertLessEqual(run.limits, set(range(1, slots + 1)))


class LimitTest(unittest.TestCase):
    """The limit stays between 1 and the slots for any input."""

    @settings(max_examples=60)
    @given(
        st.integers(1, 8),
        st.lists(
            st.one_of(
                st.sampled_from(ColdEvidence),
                st.tuples(st.sampled_from([0.1, 0.12, 0.5]), st.integers(1, 90)),
            ),
            max_size=12,
        ),
    )
    def test_limit_stays_in_bounds(
        self, slots: int, steps: list[ColdEvidence | tuple[float, int]]
    ) -> None:
        """Evidence and runs of completions arrive in any order."""
        simulation = Simulation()
        limit = AdaptiveLimit(slots, simulation, recorder(simulation))
        for step in steps:
            if isinstance(step, ColdEvidence):
                limit.handle_evidence(step)
                self.assertEqual(limit.limit, 1)
                continue
            latency, count = step
            for _ in range(count):
                before = limit.limit
                permit = limit.issue_permit("post-entry")
                limit.record_completion(permit, timedelta(seconds=latency))
                self.assertTrue(1 <= limit.limit <= slots)
                self.assertLessEqual(limit.limit, before + 1)

    def test_requests_started_before_the_evidence_are_ignored(self) -> None:
        """Answers to requests started before the evidence don't raise the limit."""
        simulation = Simulation()
        limit = AdaptiveLimit(5, simulation, recorder(simulation))
        while limit.limit < 5:
            limit.record_completion(limit.issue_permit("post-entry"), _WORK)
        permits = [limit.issue_permit("post-entry") for _ in range(5)]
        limit.record_completion(permits[0], _WORK * 10)
        self.assertEqual(limit.limit, 1)
        for permit in permits[1:]:
            limit.record_completion(permit, _WORK)
        self.assertEqual(limit.limit, 1)


class ClassOverloadTest(unittest.TestCase):
    """No class starves while another one is overloaded."""

    @settings(max_examples=25)
    @example(0, 6.0, 0.201171875)
    @example(0, 6.0, 0.15)
    @example(3, 6.0, 0.25)
    @given(st.integers(0, 10_000), st.floats(1.5, 6.0), st.floats(0.02, 0.25))
    def test_overload_of_charts_leaves_entries_their_target(
        self, seed: int, overload: float, entries: float
    ) -> None:
        """Entries that need half their share meet their target during overload."""
        simulation = Simulation()
        rng = random.Random(seed)
        capacity = Capacity(4, 0)
        server = SimulatedServer(simulation, FixedLimit(4), capacity, rng)
        run = ServerRun(seed, 4, 0, False)
        run.simulation, run.server = simulation, server
        chart = timedelta(seconds=1)
        run.offer_repeatedly(overload * 4 / chart.total_seconds(), CHART, chart)
        run.offer_repeatedly(entries * 4 / _WORK.total_seconds(), ENTRY, _WORK)
        simulation.run_until(_SERVICE_TIMES_KNOWN)
        for state in server.scheduler._classes.values():
            state._met = DecayingSum(TARGET_HALF_LIFE)
            state._ended = DecayingSum(TARGET_HALF_LIFE)
        simulation.run_until(_END)
        figures = {each.name: each for each in server.scheduler.class_figures()}
        entry, charts = figures["post-entry"], figures["fetch-chart"]
        self.assertGreaterEqual(entry.met_share, entry.target_share)
        self.assertGreater(charts.met_share, 0.05)


class RefusalTest(unittest.TestCase):
    """A request refused as "not run" was never sent."""

    @settings(max_examples=40)
    @given(
        st.lists(
            st.sampled_from(["offer", "answer", "advance", "cold", "cancel"]),
            min_size=20,
            max_size=60,
        ),
        st.integers(1, 2),
    )
    def test_refused_requests_never_reach_the_backend_server(
        self, steps: list[str], slots: int
    ) -> None:
        """Neither the request nor a byte of its body is forwarded before."""
        asyncio.run(self.async_check(steps, slots))

    async def async_check(self, steps: list[str], slots: int) -> None:
        """Run the steps and compare refusals with the requests sent and read."""
        clock, backend = FakeClock(), FakeBackend()
        sent: set[str] = set()
        read: set[str] = set()
        subject = gate(backend, clock, FixedLimit(slots))
        tasks: dict[str, asyncio.Task] = {}

        async def async_body(identifier: str) -> AsyncIterator[bytes]:
            """Record that the body is read."""
            read.add(identifier)
            yield b"moult"

        for number, step in enumerate(steps):
            name = f"request-{number}"
            if step == "offer":
                body = async_body(name)
                now = clock.monotonic().total_seconds()
                offered = attrs.evolve(request(name, deadline=now + 0.7), body=body)
                tasks[name] = asyncio.create_task(subject.async_handle(offered))
            elif step == "answer" and backend.running:
                backend.answer(backend.running[0].identifier)
            elif step == "advance":
                await clock.async_advance(timedelta(milliseconds=300))
            elif step == "cold":
                subject._scheduler.handle_evidence(ColdEvidence.REPORTED)
            elif step == "cancel" and tasks:
                random.Random(number).choice(list(tasks.values())).cancel()
            await async_run_ready_tasks()
            sent.update(each.identifier for each in backend.running)
        for name, task in tasks.items():
            if not task.done() or task.cancelled():
                task.cancel()
                continue
            if task.result().header(OUTCOME_HEADER) == "not-run":
                self.assertNotIn(name, sent | read)
            await async_read(task.result())
        await asyncio.gather(*tasks.values(), return_exceptions=True)
        self.assertLessEqual(backend.max_running, slots)
        self.assertEqual(subject._scheduler.running, 0)

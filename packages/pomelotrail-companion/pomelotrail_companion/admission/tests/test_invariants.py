"""Property tests of what admission must never do."""

import asyncio
import random
import unittest
from collections.abc import AsyncIterator
from datetime import timedelta

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from harness.fake_clock import FakeClock, async_settle
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
    """When a server turns cold, and whether it says so."""

    at: float
    is_announced: bool


_MOMENTS = st.lists(
    st.builds(ColdMoment, st.floats(0.5, 19), st.booleans()), max_size=3
)


class ServerRun:
    """Requests at random moments against one simulated server."""

    def __init__(self, seed: int, slots: int, warm_up: int, sheds: bool) -> None:
        """Start a companion beside a cold server."""
        self.simulation = Simulation()
        self.rng = random.Random(seed)
        self.limits: set[int] = set()
        limit = AdaptiveLimit(slots, self.simulation, recorder(self.simulation))
        self.server = SimulatedServer(
            self.simulation, limit, Capacity(slots, warm_up), self.rng, sheds
        )

    def offer_at(self, rate: float, kind: RequestClass, work: timedelta) -> None:
        """Offer requests of a class at a rate per second."""
        self.limits.add(self.server.limit.limit)
        self.server.offer(kind, work * self.rng.uniform(0.5, 1.5))
        delay = timedelta(seconds=self.rng.expovariate(rate))
        self.simulation.after(delay, lambda: self.offer_at(rate, kind, work))

    def turn_cold(self, moment: ColdMoment) -> None:
        """Plan a moment at which the server turns cold."""

        def turn() -> None:
            """Turn cold and perhaps say so."""
            self.server.turn_cold()
            if moment.is_announced:
                self.server.scheduler.take_evidence(ColdEvidence.REPORTED)
                self.server._cold_at = None

        self.simulation.after(timedelta(seconds=moment.at), turn)


class ColdServerTest(unittest.TestCase):
    """A cold backend server gets no more than it can carry."""

    @settings(max_examples=40)
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
        """Cold at any moments, announced or not, twice, and in a storm."""
        warm_up = int(warmth * GROWTH_COMPLETIONS * (slots - 1))
        run = ServerRun(seed, slots, warm_up, sheds)
        for moment in moments:
            run.turn_cold(moment)
        rate = load * slots / _WORK.total_seconds()
        run.offer_at(rate, ENTRY, _WORK)
        run.offer_at(rate / 10, CHART, _WORK)
        run.simulation.run_until(_END)
        self.assertEqual(run.server.overruns, 0)
        self.assertLessEqual(run.limits, set(range(1, slots + 1)))


class LimitTest(unittest.TestCase):
    """The limit stays within 1 and the slots whatever it is told."""

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
        """Evidence and runs of completions come in any order."""
        simulation = Simulation()
        limit = AdaptiveLimit(slots, simulation, recorder(simulation))
        for step in steps:
            if isinstance(step, ColdEvidence):
                limit.take_evidence(step)
                self.assertEqual(limit.limit, 1)
                continue
            latency, count = step
            for _ in range(count):
                before = limit.limit
                permit = limit.permit("post-entry")
                limit.complete(permit, timedelta(seconds=latency))
                self.assertTrue(1 <= limit.limit <= slots)
                self.assertLessEqual(limit.limit, before + 1)

    def test_requests_from_before_the_evidence_prove_nothing(self) -> None:
        """Answers to requests that started warm don't raise a fallen limit."""
        simulation = Simulation()
        limit = AdaptiveLimit(5, simulation, recorder(simulation))
        while limit.limit < 5:
            limit.complete(limit.permit("post-entry"), _WORK)
        permits = [limit.permit("post-entry") for _ in range(5)]
        limit.complete(permits[0], _WORK * 10)
        self.assertEqual(limit.limit, 1)
        for permit in permits[1:]:
            limit.complete(permit, _WORK)
        self.assertEqual(limit.limit, 1)


class StormTest(unittest.TestCase):
    """No class starves while another storms."""

    @settings(max_examples=25)
    @given(st.integers(0, 10_000), st.floats(1.5, 6.0), st.floats(0.02, 0.25))
    def test_storm_of_charts_leaves_entries_their_target(
        self, seed: int, storm: float, entries: float
    ) -> None:
        """Entries that need half their share meet their target in a storm of charts."""
        simulation = Simulation()
        rng = random.Random(seed)
        capacity = Capacity(4, 0)
        server = SimulatedServer(simulation, FixedLimit(4), capacity, rng)
        run = ServerRun(seed, 4, 0, False)
        run.simulation, run.server = simulation, server
        chart = timedelta(seconds=1)
        run.offer_at(storm * 4 / chart.total_seconds(), CHART, chart)
        run.offer_at(entries * 4 / _WORK.total_seconds(), ENTRY, _WORK)
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
    """A refusal that says "not run" is true."""

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
        """Neither the request nor a byte of its body went on before."""
        asyncio.run(self.async_check(steps, slots))

    async def async_check(self, steps: list[str], slots: int) -> None:
        """Run the steps and compare refusals with what was sent and read."""
        clock, backend = FakeClock(), FakeBackend()
        sent: set[str] = set()
        read: set[str] = set()
        subject = gate(backend, clock, FixedLimit(slots))
        tasks: dict[str, asyncio.Task] = {}

        async def async_body(identifier: str) -> AsyncIterator[bytes]:
            """Note that somebody reads the body."""
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
                subject._scheduler.take_evidence(ColdEvidence.REPORTED)
            elif step == "cancel" and tasks:
                random.Random(number).choice(list(tasks.values())).cancel()
            await async_settle()
            sent.update(each.identifier for each in backend.running)
        for name, task in tasks.items():
            if not task.done() or task.cancelled():
                task.cancel()
                continue
            if task.result().header(OUTCOME_HEADER) == "not-run":
                self.assertNotIn(name, sent | read)
            await async_read(task.result())
        await asyncio.gather(*tasks.values(), return_exceptions=True)
        self.assertLessEqual(backend.most_at_once, slots)
        self.assertEqual(subject._scheduler.running, 0)

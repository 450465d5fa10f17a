"""Tests of schedules, of short soaks and of the detection of a broken variant."""

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak.__main__ import load_recorded_schedules, parse_arguments, summarize
from soak.run import SeedResult, async_run_seed
from soak.schedule import KINDS, Fault, FaultKind, draw_schedule

_SEED = 7
_SECONDS = 3.0
_LINK_CUT_SEED = 2002
_LINK_CUT_SECONDS = 6.0
_MACHINE_SEED = 103
_MACHINE_SECONDS = 5.0
_LOAD_SEED = 710672
_LOAD_SECONDS = 2.0
_PROCESSES = 9
_FIRST_OF_600019 = Fault(at=0.5, kind=FaultKind.LINK_DELAY, pick=0.548, for_s=0.752)
_JOBS = 2


async def async_run_schedules(
    schedules: dict[int, list[Fault]], prelude: str = ""
) -> list[SeedResult]:
    """Run schedules with small fleets, two at a time."""
    free_jobs = asyncio.Semaphore(_JOBS)

    async def async_run_one(seed: int, faults: list[Fault]) -> SeedResult:
        """Run one schedule once a job is free."""
        async with free_jobs:
            with tempfile.TemporaryDirectory() as folder:
                return await async_run_seed(
                    seed, faults, _PROCESSES, prelude, Path(folder)
                )

    return await asyncio.gather(*(async_run_one(*each) for each in schedules.items()))


class ScheduleTest(unittest.TestCase):
    """Schedules, command line and summary."""

    def test_schedule_depends_on_seed(self) -> None:
        """Equal seeds give equal schedules, sorted by time."""
        self.assertEqual(draw_schedule(3, 20.0), draw_schedule(3, 20.0))
        self.assertNotEqual(draw_schedule(3, 20.0), draw_schedule(4, 20.0))
        times = [fault.at for fault in draw_schedule(3, 20.0)]
        self.assertEqual(times, sorted(times))

    def test_every_kind_is_drawn(self) -> None:
        """The schedules of 20 seeds contain every kind of their set."""
        for name, kinds in KINDS.items():
            schedules = [draw_schedule(seed, 20.0, kinds) for seed in range(20)]
            drawn = {fault.kind for schedule in schedules for fault in schedule}
            with self.subTest(name):
                self.assertEqual(drawn, set(kinds))
        self.assertEqual({*KINDS["all"], *KINDS["load"]}, set(FaultKind))

    def test_seeds_keep_their_schedules(self) -> None:
        """KNOWN-RED.txt and the design page name seeds, drawn from all but bursts."""
        fault = draw_schedule(600019, 8.0)[0]
        self.assertEqual(fault, _FIRST_OF_600019)
        self.assertEqual(set(FaultKind) - set(KINDS["all"]), {FaultKind.BURST})

    def test_summary(self) -> None:
        """Failed seeds are listed, and counts are summed."""
        passed = SeedResult(1, [], {"answered": 2}, 1, ["kill"])
        failed = SeedResult(2, ["1.00 reset"], {"answered": 1, "reset": 1}, 1, ["kill"])
        result = summarize([passed, failed])
        self.assertEqual((result["seeds"], result["failures"]), (2, [2]))
        self.assertEqual(result["requests"], {"answered": 3, "reset": 1})
        self.assertEqual(result["faults"], {"kill": 2})

    def test_command_line(self) -> None:
        """The options to repeat a failed seed are parsed."""
        options = parse_arguments(
            ["--seed", "9", "--seconds", "4", "--processes", "30"]
        )
        self.assertEqual((options.seed, options.seconds), (9, 4.0))
        self.assertEqual((options.seeds, options.processes), (1, 30))


class SoakTest(unittest.TestCase):
    """Runs with real processes."""

    def test_short_soak(self) -> None:
        """Fixed seeds pass: faults of the platform, of the machine, and bursts."""
        platform_faults = draw_schedule(_SEED, _SECONDS, KINDS["platform"])
        machine_faults = draw_schedule(
            _MACHINE_SEED, _MACHINE_SECONDS, KINDS["machine"]
        )
        load_faults = draw_schedule(_LOAD_SEED, _LOAD_SECONDS, KINDS["load"])
        self.assertIn(FaultKind.BURST, {each.kind for each in load_faults})
        schedules = {_SEED: platform_faults, _MACHINE_SEED: machine_faults}
        self._assert_all_pass(schedules | {_LOAD_SEED: load_faults})

    def test_recorded_schedules(self) -> None:
        """Schedules of earlier failures pass."""
        self._assert_all_pass(load_recorded_schedules())

    def test_broken_variant_is_detected(self) -> None:
        """A broken variant fails; a soak that detects nothing would always pass.

        The schedule cuts links and kills companions, so likely owners don't answer.
        """
        prelude = "import soak.broken; soak.broken.apply('reset-on-suspicion'); "
        faults = draw_schedule(_LINK_CUT_SEED, _LINK_CUT_SECONDS, KINDS["platform"])
        runs = async_run_schedules({_LINK_CUT_SEED: faults}, prelude)
        (result,) = asyncio.run(runs)
        self.assertTrue(any("reset of living flow" in x for x in result.violations))

    def _assert_all_pass(self, schedules: dict[int, list[Fault]]) -> None:
        """Run schedules; none of them may break anything."""
        results = asyncio.run(async_run_schedules(schedules))
        self.assertEqual(len(results), len(schedules))
        for result in results:
            with self.subTest(result.seed):
                self.assertEqual(result.violations, [])

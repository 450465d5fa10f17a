"""``script/soak``: injects random faults into a fleet of the real programs."""

import argparse
import asyncio
import json
import secrets
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import Final

import attrs

from .broken import VARIANTS
from .built_tree import BuiltTree
from .run import SeedResult, async_run_seed
from .schedule import KINDS, Fault, FaultKind, draw_schedule

REGRESSIONS: Final = Path(__file__).resolve().parent / "regressions"


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog="script/soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seed", type=int, help="first seed; default: random")
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="of faults per seed"
    )
    parser.add_argument("--processes", type=int, default=9, help="processes in a fleet")
    parser.add_argument("--jobs", type=int, default=2, help="fleets run in parallel")
    parser.add_argument("--kinds", choices=KINDS, default="all", help="of faults")
    parser.add_argument("--variant", choices=VARIANTS, help="run a broken variant")
    parser.add_argument(
        "--built", action="store_true", help="run a build, beside further builds"
    )
    parser.add_argument(
        "--regressions", action="store_true", help="run the recorded schedules instead"
    )
    return parser.parse_args(arguments)


def load_recorded_schedules() -> dict[int, list[Fault]]:
    """Return the recorded schedules of earlier failures, by seed."""
    schedules = {}
    for path in sorted(REGRESSIONS.glob("*.json")):
        content = json.loads(path.read_text())
        faults = [
            Fault(**{**x, "kind": FaultKind(x["kind"])}) for x in content["faults"]
        ]
        schedules[content["seed"]] = faults
    return schedules


async def async_run_beside_builds(
    options: argparse.Namespace, folder: Path
) -> tuple[list[SeedResult], BuiltTree]:
    """Run all seeds from a build, while other builds run in the same tree."""
    tree = BuiltTree(folder)
    await tree.async_build()
    if tree.problems:
        return [], tree
    builds = asyncio.create_task(tree.async_build_regularly())
    results = await async_run_seeds(options, folder, tree.launcher)
    builds.cancel()
    await asyncio.wait([builds])
    return results, tree


async def async_run_seeds(
    options: argparse.Namespace, folder: Path, launcher: Path | None = None
) -> list[SeedResult]:
    """Run all seeds, several in parallel."""
    first_seed = secrets.randbelow(10**9) if options.seed is None else options.seed
    schedules = {
        number: draw_schedule(number, options.seconds, KINDS[options.kinds])
        for number in range(first_seed, first_seed + options.seeds)
    }
    if options.regressions:
        schedules = load_recorded_schedules()
    for seed in schedules:
        (folder / str(seed)).mkdir()
    prelude = ""
    if options.variant:
        prelude = f"import soak.broken; soak.broken.apply({options.variant!r}); "
    free_jobs = asyncio.Semaphore(options.jobs)

    async def async_run_one(seed: int, faults: list[Fault]) -> SeedResult:
        """Run one seed once a job is free."""
        log_folder = folder / str(seed)
        async with free_jobs:
            result = await async_run_seed(
                seed, faults, options.processes, prelude, log_folder, launcher
            )
        print_result(result, faults, log_folder, options)
        return result

    return await asyncio.gather(
        *(async_run_one(*schedule) for schedule in schedules.items())
    )


def print_result(
    result: SeedResult,
    faults: list[Fault],
    log_folder: Path,
    options: argparse.Namespace,
) -> None:
    """Print the result of a seed, with the schedule and the command if it failed."""
    state = f"{len(result.violations)} broken" if result.violations else "passed"
    print(f"seed {result.seed}: {state}, {sum(result.requests.values())} requests")
    if not result.violations:
        return
    for line in result.violations[:20]:
        print(f"  {line}")
    print(
        "  schedule: "
        + json.dumps([attrs.asdict(x) for x in faults], default=_serialize_kind)
    )
    print(f"  logs: {log_folder}")
    print(
        f"  again: script/soak --seed {result.seed} --seconds {options.seconds} "
        f"--processes {options.processes} --kinds {options.kinds}"
        f"{' --built' if options.built else ''}"
    )


def summarize(results: list[SeedResult]) -> dict[str, object]:
    """Return the totals over all seeds, printed as the last line."""
    requests: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    for result in results:
        requests.update(result.requests)
        faults.update(result.faults)
    return {
        "seeds": len(results),
        "failures": [result.seed for result in results if result.violations],
        "requests": dict(requests),
        "flows": sum(result.flows for result in results),
        "faults": dict(faults),
    }


def _serialize_kind(kind: FaultKind) -> str:
    """Return the value of a fault kind for JSON."""
    return kind.value


def main() -> None:
    """Run all seeds and print the results; exit with 1 if a seed failed."""
    options = parse_arguments(sys.argv[1:])
    folder = Path(tempfile.mkdtemp(prefix="pomelotrail-soak-"))
    problems: list[str] = []
    if options.built:
        results, tree = asyncio.run(async_run_beside_builds(options, folder))
        summary = summarize(results) | {"builds": tree.builds}
        problems = tree.problems
    else:
        summary = summarize(asyncio.run(async_run_seeds(options, folder)))
    for problem in problems:
        print(f"  {problem}")
    print(json.dumps(summary))
    sys.exit(1 if summary["failures"] or problems else 0)


if __name__ == "__main__":
    main()

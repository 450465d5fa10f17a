"""``script/soak``: plays random faults over the real programs."""

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
from .const import FIRST_NETWORK
from .run import Outcome, async_run_seed
from .schedule import Fault, Kind, draw

REGRESSIONS: Final = Path(__file__).resolve().parent / "regressions"


def parse(arguments: list[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(prog="script/soak", description=__doc__)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seed", type=int, help="the first seed; random if left out")
    parser.add_argument("--seconds", type=float, default=10.0, help="of faults, a seed")
    parser.add_argument("--processes", type=int, default=9, help="of a fleet")
    parser.add_argument("--jobs", type=int, default=2, help="fleets at a time")
    parser.add_argument("--variant", choices=VARIANTS, help="break the product")
    parser.add_argument(
        "--regressions", action="store_true", help="the kept schedules instead"
    )
    return parser.parse_args(arguments)


def kept_schedules() -> dict[int, list[Fault]]:
    """Return the schedules that once failed, by seed."""
    kept = {}
    for path in sorted(REGRESSIONS.glob("*.json")):
        content = json.loads(path.read_text())
        faults = [Fault(**{**x, "kind": Kind(x["kind"])}) for x in content["faults"]]
        kept[content["seed"]] = faults
    return kept


async def async_play(options: argparse.Namespace, folder: Path) -> list[Outcome]:
    """Play all seeds, some at a time."""
    first = secrets.randbelow(10**9) if options.seed is None else options.seed
    schedules = {
        s: draw(s, options.seconds) for s in range(first, first + options.seeds)
    }
    if options.regressions:
        schedules = kept_schedules()
    for seed in schedules:
        (folder / str(seed)).mkdir()
    prelude = ""
    if options.variant:
        prelude = f"import soak.broken; soak.broken.apply({options.variant!r}); "
    free = asyncio.Queue()
    for job in range(options.jobs):
        free.put_nowait(FIRST_NETWORK + job)

    async def async_one(seed: int, faults: list[Fault]) -> Outcome:
        """Play one seed on a network that is free."""
        network = await free.get()
        logs = folder / str(seed)
        try:
            outcome = await async_run_seed(
                seed, faults, network, options.processes, prelude, logs
            )
        except TimeoutError:
            outcome = Outcome(seed, ["0.00 a process did not get ready"], {}, 0, [])
        finally:
            free.put_nowait(network)
        report(outcome, faults, logs, options)
        return outcome

    return await asyncio.gather(*(async_one(*each) for each in schedules.items()))


def report(
    outcome: Outcome, faults: list[Fault], logs: Path, options: argparse.Namespace
) -> None:
    """Print what a seed showed; a failed one with all that repeats it."""
    state = f"{len(outcome.broken)} broken" if outcome.broken else "passed"
    print(f"seed {outcome.seed}: {state}, {sum(outcome.requests.values())} requests")
    if not outcome.broken:
        return
    for line in outcome.broken[:20]:
        print(f"  {line}")
    print("  schedule: " + json.dumps([attrs.asdict(x) for x in faults], default=_name))
    print(f"  logs: {logs}")
    print(
        f"  again: script/soak --seed {outcome.seed} --seconds {options.seconds} "
        f"--processes {options.processes}"
    )


def summary(outcomes: list[Outcome]) -> dict[str, object]:
    """Return the last line's content."""
    requests: Counter[str] = Counter()
    faults: Counter[str] = Counter()
    for each in outcomes:
        requests.update(each.requests)
        faults.update(each.faults)
    return {
        "seeds": len(outcomes),
        "failures": [each.seed for each in outcomes if each.broken],
        "requests": dict(requests),
        "flows": sum(each.flows for each in outcomes),
        "faults": dict(faults),
    }


def _name(kind: Kind) -> str:
    """Return a kind as it stands in a file."""
    return kind.value


def main() -> None:
    """Play and tell; the exit code is 1 if a seed failed."""
    options = parse(sys.argv[1:])
    folder = Path(tempfile.mkdtemp(prefix="pomelotrail-soak-"))
    outcomes = asyncio.run(async_play(options, folder))
    told = summary(outcomes)
    print(json.dumps(told))
    sys.exit(1 if told["failures"] else 0)


if __name__ == "__main__":
    main()

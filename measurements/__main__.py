"""Runs one measurement: ``python -m measurements NAME [--seed N] [--quick]``."""

import argparse
import asyncio
import importlib
import json
import pkgutil
from pathlib import Path
from typing import Final

from measurements.interface import Measurement, MeasurementOptions

_SUPPORT_MODULES: Final = frozenset(
    {"__main__", "ablation", "callers", "goodput", "interface", "tests"}
)


def main() -> None:
    """Run the named measurement and print its figures as JSON in the last line."""
    parser = argparse.ArgumentParser(prog="script/measure", description=__doc__)
    parser.add_argument("name", choices=_measurement_names())
    parser.add_argument("--seed", type=int, default=1, help="seed of every choice")
    parser.add_argument("--quick", action="store_true", help="at most 50 seconds")
    parsed = parser.parse_args()
    module = importlib.import_module(f"measurements.{parsed.name}")
    measure: Measurement = module.async_measure
    options = MeasurementOptions(parsed.seed, parsed.quick)
    figures = asyncio.run(measure(options))
    print(json.dumps({"name": parsed.name, "seed": parsed.seed, **figures}))


def _measurement_names() -> list[str]:
    """Return the names of all measurements."""
    found = pkgutil.iter_modules([str(Path(__file__).parent)])
    return sorted(
        module.name for module in found if module.name not in _SUPPORT_MODULES
    )


if __name__ == "__main__":
    main()

"""Writes a day with one burst: ``python -m measurements.goodput.burst``."""

import argparse

from .const import BURST_DURATION_S, BURST_START_S


def build_day(usual: float, load: float) -> str:
    """Return a day whose burst takes the load from ``usual`` to ``load``."""
    factor = round(load / usual, 3)
    return (
        f'name = "load-{load}"\n'
        f'faults = [{{ at = {BURST_START_S}, kind = "burst", x = {factor}, '
        f"for_s = {BURST_DURATION_S} }}]\n"
        "plan = []\n"
    )


def main() -> None:
    """Print the day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--usual", type=float, required=True)
    parser.add_argument("--load", type=float, required=True)
    options = parser.parse_args()
    print(build_day(options.usual, options.load), end="")


if __name__ == "__main__":
    main()

"""Writes goodput by load as JSON: ``python -m measurements.goodput.curve REPORT...``.

``--plot FILE`` draws the curve as well, which takes matplotlib.
"""

import argparse
import json
import re
import sys
from pathlib import Path
from typing import Any

from .const import WINDOW_S
from .report import Row, read_classes, read_windows

_LOAD = re.compile(r"load-([\d.]+)\.txt$")


def build_point(load: float, report: str) -> dict[str, Any]:
    """Return the requests per second in the burst, and the classes of the day."""
    windows = read_windows(report)
    seconds = len(windows) * WINDOW_S
    return {
        "load": load,
        "asked_per_s": round(sum(x.asked for x in windows) / seconds, 1),
        "on_time_per_s": round(sum(x.on_time for x in windows) / seconds, 1),
        "late_per_s": round(sum(x.late for x in windows) / seconds, 1),
        "refused_per_s": round(sum(x.refused for x in windows) / seconds, 1),
        "failed_per_s": round(sum(x.failed for x in windows) / seconds, 1),
        "classes": {row.name: _shares(row) for row in read_classes(report)},
    }


def _shares(row: Row) -> dict[str, float]:
    """Return the shares of a class that were on time, late and failed."""
    asked = max(1, row.asked)
    return {
        "on_time": round(row.on_time / asked, 3),
        "late": round(row.late / asked, 3),
        "failed": round((row.refused + row.failed) / asked, 3),
    }


def plot(points: list[dict[str, Any]], path: Path) -> None:
    """Draw offered load, goodput and late requests."""
    try:
        from matplotlib import pyplot
    except ImportError:
        sys.exit("plots take matplotlib; install it beside the development tools")
    loads = [point["load"] for point in points]
    for key, label in (
        ("asked_per_s", "asked"),
        ("on_time_per_s", "on time"),
        ("late_per_s", "late"),
        ("failed_per_s", "failed"),
    ):
        pyplot.plot(loads, [point[key] for point in points], marker="o", label=label)
    pyplot.xlabel("load as a share of capacity")
    pyplot.ylabel("requests per second")
    pyplot.legend()
    pyplot.savefig(path)


def main() -> None:
    """Print the curve, and draw it on request."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("reports", nargs="+", type=Path)
    parser.add_argument("--plot", type=Path)
    options = parser.parse_args()
    points = []
    for path in options.reports:
        load = _LOAD.search(path.name)
        if load is None:
            sys.exit(f"{path} isn't named load-LOAD.txt, as goodput/run names reports")
        points.append(build_point(float(load.group(1)), path.read_text()))
    points.sort(key=lambda point: point["load"])
    if options.plot is not None:
        plot(points, options.plot)
    print(json.dumps(points, indent=1))


if __name__ == "__main__":
    main()

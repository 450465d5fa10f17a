"""A nose2 reporter that knows the faults listed in KNOWN-RED.txt.

Each line of that file starts with the identifier of a test, followed by the
command and seed, what was seen and the issue. A listed test that fails is
printed and passed over; every other failure fails the run. A listed test that
passes fails the run too, so that the list never outlives the fault.
"""

from pathlib import Path
from typing import Any, Final

from nose2 import result
from nose2.plugins import result as reporting

KNOWN_RED_FILE: Final = Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
KNOWN_RED: Final = "known red"


def read_known_red(path: Path = KNOWN_RED_FILE) -> dict[str, str]:
    """Return the listed test identifiers with their descriptions."""
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text().splitlines()]
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split()[0].rstrip(":;,"): entry for entry in entries}


class KnownRedReporter(reporting.ResultReporter):
    """Reports results without timings, so that equal runs print the same."""

    configSection = "known-red"

    def __init__(self) -> None:
        """Read the list of known faults."""
        super().__init__()
        self._known_red = read_known_red()
        self._passed_unexpectedly: list[str] = []

    def testOutcome(self, event: Any) -> None:  # noqa: N802 (a hook of nose2)
        """Record one outcome, setting known faults aside."""
        test_id = event.test.id().splitlines()[0]
        if test_id in self._known_red:
            if event.outcome in (result.FAIL, result.ERROR):
                event.outcome = KNOWN_RED
            elif event.outcome == result.PASS:
                self._passed_unexpectedly.append(test_id)
        super().testOutcome(event)

    def wasSuccessful(self, event: Any) -> None:  # noqa: N802 (a hook of nose2)
        """Fail the run when a known fault has gone but is still listed."""
        super().wasSuccessful(event)
        if self._passed_unexpectedly:
            event.success = False

    def _printSummary(self, report_event: Any) -> None:  # noqa: N802
        """Print the known faults and the closing line."""
        stream = report_event.stream
        for outcome in self.reportCategories.get(KNOWN_RED, []):
            stream.writeln(f"KNOWN RED {self._known_red[outcome.test.id()]}")
        for test_id in self._passed_unexpectedly:
            stream.writeln(f"{test_id} passes now; remove it from KNOWN-RED.txt")
        failed = len(self.reportCategories["failures"])
        failed += len(self.reportCategories["errors"])
        failed += len(self._passed_unexpectedly)
        skipped = len(self.reportCategories["skipped"])
        known = len(self.reportCategories.get(KNOWN_RED, []))
        passed = self.testsRun - failed - skipped - known
        stream.writeln(self.separator2)
        stream.writeln(f"{passed} passed, {failed} failed, {skipped + known} skipped")

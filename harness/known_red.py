"""A nose2 reporter that tolerates the known failures listed in KNOWN-RED.txt.

Each line of that file starts with the identifier of a test, followed by the
command and seed, the observed failure and the issue. A listed test that fails is
printed and does not fail the run; every other failure does. A listed test that
passes fails the run too, so that entries are removed once the fault is fixed.
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
    """Reports results without timings, so that equal runs print equal output."""

    configSection = "known-red"

    def __init__(self) -> None:
        """Read the list of known failures."""
        super().__init__()
        self._known_red = read_known_red()
        self._passed_unexpectedly: list[str] = []

    def testOutcome(self, event: Any) -> None:  # noqa: N802 (a hook of nose2)
        """Record one outcome; known failures get their own category."""
        test_id = event.test.id().splitlines()[0]
        if test_id in self._known_red:
            if event.outcome in (result.FAIL, result.ERROR):
                event.outcome = KNOWN_RED
            elif event.outcome == result.PASS:
                self._passed_unexpectedly.append(test_id)
        super().testOutcome(event)

    def wasSuccessful(self, event: Any) -> None:  # noqa: N802 (a hook of nose2)
        """Fail the run if a listed test passes."""
        super().wasSuccessful(event)
        if self._passed_unexpectedly:
            event.success = False

    def _printSummary(self, report_event: Any) -> None:  # noqa: N802
        """Print the known failures and the totals."""
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

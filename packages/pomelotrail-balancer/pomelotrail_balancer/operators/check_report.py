"""Output of a check, for people and for scripts."""

import json
import sys

from pomelotrail_core.configuration_check import Difference, Finding, Verdict


class CheckReport:
    """Prints the verdict on a document.

    For people, the result goes to standard output and findings go to standard error.
    """

    def __init__(self, verdict: Verdict, in_force: str = "") -> None:
        """Initialize with a verdict and the source of the version in force, if any."""
        self._verdict = verdict
        self._in_force = in_force

    @property
    def verdict(self) -> Verdict:
        """Return the verdict."""
        return self._verdict

    @property
    def _version(self) -> int | None:
        """Return the version of the document, or None if it can't be parsed."""
        content = self._verdict.content
        return content.version if content is not None else None

    def print_text(self) -> None:
        """Print the verdict, the findings and the differences."""
        verdict = self._verdict
        for finding in verdict.findings:
            print(finding, file=sys.stderr)
        version = f"version {self._version} " if self._version else ""
        state = "is valid" if verdict.is_valid else "would not be applied"
        print(f"{verdict.source}: {version}{state}")
        if verdict.differences is not None:
            self._print_differences(verdict.differences)

    def print_json(self) -> None:
        """Print one object."""
        verdict = self._verdict
        content = {
            "source": verdict.source,
            "version": self._version,
            "valid": verdict.is_valid,
            "errors": [_finding_data(each) for each in verdict.errors],
            "warnings": [_finding_data(each) for each in verdict.warnings],
        }
        if verdict.differences is not None:
            content["differences"] = [
                _difference_data(each) for each in verdict.differences
            ]
        print(json.dumps(content, indent=2))

    def _print_differences(self, differences: tuple[Difference, ...]) -> None:
        """Print a line for each difference."""
        noun = "difference" if len(differences) == 1 else "differences"
        print(f"{len(differences)} {noun} from {self._in_force}")
        for difference in differences:
            print(f"  {difference}")


def _finding_data(finding: Finding) -> dict[str, str]:
    """Return a finding as JSON data."""
    return {
        "field": finding.field,
        "problem": finding.problem,
        "remedy": finding.remedy,
    }


def _difference_data(difference: Difference) -> dict[str, object]:
    """Return a difference as JSON data."""
    return {
        "change": difference.change.value,
        "entry": difference.entry,
        "from": dict(difference.before) or None,
        "to": dict(difference.after) or None,
    }

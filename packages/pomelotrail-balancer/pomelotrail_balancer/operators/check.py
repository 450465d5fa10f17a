"""``pomelotrail check``: checks a document or a settings file."""

import argparse
import sys
from datetime import timedelta
from pathlib import Path

from result import Err, Ok

from pomelotrail_balancer.settings import read_balancer_settings
from pomelotrail_core.command_line import (
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    Command,
    argument_duration,
)
from pomelotrail_core.configuration_check import (
    ConfigurationChecker,
    Finding,
    Level,
    Verdict,
)

from .check_report import CheckReport
from .document_file import STANDARD_INPUT, read_text, source_name


class CheckCommand(Command):
    """Checks a configuration document, or the settings of a balancer."""

    name = "check"
    summary = "check a configuration document or a balancer's settings"
    examples = (
        "pomelotrail check document.yaml\n"
        "pomelotrail check - < document.yaml\n"
        "pomelotrail check document.yaml --against in-force.yaml\n"
        "pomelotrail check document.yaml --grace 30s --strict --json\n"
        "pomelotrail check --settings balancer-1.yaml"
    )

    @property
    def uses_operator_security(self) -> bool:
        """Return False: nothing is queried."""
        return False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument(
            "file", type=Path, help="document (YAML), or - for standard input"
        )
        parser.add_argument(
            "--settings",
            action="store_true",
            help="the file holds the settings of a balancer",
        )
        parser.add_argument(
            "--against",
            type=Path,
            metavar="FILE",
            help="show what differs from this document, the version in force",
        )
        parser.add_argument(
            "--grace",
            type=argument_duration,
            metavar="DURATION",
            help="time that a process gets to shut down; shows what drains longer",
        )
        parser.add_argument(
            "--strict", action="store_true", help="fail for warnings too"
        )
        parser.add_argument(
            "--json", action="store_true", help="print the verdict as JSON"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Check one file."""
        if problem := _describe_wrong_use(arguments):
            print(problem, file=sys.stderr)
            return EXIT_USAGE
        if arguments.settings:
            return _check_settings(arguments.file)
        return _DocumentCheck(
            arguments.against, arguments.grace, arguments.strict, arguments.json
        ).run(arguments.file)


class _DocumentCheck:
    """Checks a document by the rules that every process applies, and for mistakes."""

    def __init__(
        self,
        against: Path | None,
        grace: timedelta | None,
        is_strict: bool,
        is_json: bool,
    ) -> None:
        """Initialize with the options of the command."""
        self._against = against
        self._grace = grace
        self._is_strict = is_strict
        self._is_json = is_json

    def run(self, path: Path) -> int:
        """Check a document, print the verdict and return the exit code."""
        in_force, in_force_name = None, ""
        if self._against is not None:
            against = _check_document(self._against, ConfigurationChecker())
            in_force = against.configuration
            if in_force is None:
                return self._report(against)
            in_force_name = f"{against.source}, version {in_force.version}"
        checker = ConfigurationChecker(in_force, self._grace)
        return self._report(_check_document(path, checker), in_force_name)

    def _report(self, verdict: Verdict, in_force_name: str = "") -> int:
        """Print a verdict and return the exit code."""
        report = CheckReport(verdict, in_force_name)
        if self._is_json:
            report.print_json()
        else:
            report.print_text()
        has_failed = verdict.findings if self._is_strict else verdict.errors
        return EXIT_FAILED if has_failed else EXIT_OK


def _check_document(path: Path, checker: ConfigurationChecker) -> Verdict:
    """Return the verdict on a file, which is an error if it can't be read."""
    match read_text(path):
        case Err(error):
            finding = Finding(Level.ERROR, "", error.problem, error.remedy)
            return Verdict(source_name(path), None, (finding,))
        case Ok(text):
            return checker.check(text, source_name(path))


def _describe_wrong_use(arguments: argparse.Namespace) -> str:
    """Return the problem of options that exclude each other, or empty."""
    document_options = (
        arguments.against,
        arguments.grace,
        arguments.strict,
        arguments.json,
    )
    if arguments.settings and any(document_options):
        return "--settings can't be used with options for documents; leave them out"
    if arguments.file == arguments.against == STANDARD_INPUT:
        return "both documents are -; give the path of a file for one of them"
    return ""


def _check_settings(path: Path) -> int:
    """Check the settings file of a balancer."""
    match read_balancer_settings(path):
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_USAGE
        case Ok(_):
            print(f"{path}: the settings are valid")
            return EXIT_OK

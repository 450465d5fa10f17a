"""``pomelotrail check``: checks a document or a settings file."""

import abc
import argparse
import sys
from pathlib import Path
from typing import Any

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
    DocumentChecker,
    Finding,
    Level,
    Verdict,
)

from .check_report import CheckReport
from .document_file import STANDARD_INPUT, read_text, source_name


class DocumentCheckCommand(Command):
    """Checks a document of one form, and compares it with the one in force."""

    name = "check"

    @property
    def uses_operator_security(self) -> bool:
        """Return False: nothing is queried."""
        return False

    @abc.abstractmethod
    def make_checker(self, arguments: argparse.Namespace) -> DocumentChecker:
        """Return the checker for the form of document."""

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("file", type=Path, help="document, or - for standard input")
        parser.add_argument(
            "--against",
            type=Path,
            metavar="FILE",
            help="show what differs from this document, the version in force",
        )
        parser.add_argument(
            "--strict", action="store_true", help="fail for warnings too"
        )
        parser.add_argument(
            "--json", action="store_true", help="print the verdict as JSON"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Check a document, print the verdict and return the exit code."""
        if arguments.file == arguments.against == STANDARD_INPUT:
            problem = "both documents are -; give the path of a file for one of them"
            print(problem, file=sys.stderr)
            return EXIT_USAGE
        report = self._check(arguments)
        if arguments.json:
            report.print_json()
        else:
            report.print_text()
        verdict = report.verdict
        has_failed = verdict.findings if arguments.strict else verdict.errors
        return EXIT_FAILED if has_failed else EXIT_OK

    def _check(self, arguments: argparse.Namespace) -> CheckReport:
        """Return the report on a document, or on the one in force if that is wrong."""
        checker = self.make_checker(arguments)
        if arguments.against is None:
            return CheckReport(_check_file(arguments.file, checker))
        against = _check_file(arguments.against, checker)
        if against.content is None:
            return CheckReport(against)
        verdict = _check_file(arguments.file, checker, against.content)
        return CheckReport(
            verdict, f"{against.source}, version {against.content.version}"
        )


class CheckCommand(DocumentCheckCommand):
    """Checks a configuration document, or the settings of a balancer."""

    summary = "check a configuration document or a balancer's settings"
    examples = (
        "pomelotrail check document.yaml\n"
        "pomelotrail check - < document.yaml\n"
        "pomelotrail check document.yaml --against in-force.yaml\n"
        "pomelotrail check document.yaml --grace 30s --strict --json\n"
        "pomelotrail check --settings balancer-1.yaml"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        super().add_arguments(parser)
        parser.add_argument(
            "--grace",
            type=argument_duration,
            metavar="DURATION",
            help="time that a process gets to shut down; shows what drains longer",
        )
        parser.add_argument(
            "--settings",
            action="store_true",
            help="the file holds the settings of a balancer",
        )

    def make_checker(self, arguments: argparse.Namespace) -> DocumentChecker:
        """Return the checker for the product's document."""
        return ConfigurationChecker(arguments.grace)

    def run(self, arguments: argparse.Namespace) -> int:
        """Check one file."""
        if not arguments.settings:
            return super().run(arguments)
        if any((arguments.against, arguments.grace, arguments.strict, arguments.json)):
            problem = "--settings can't be used with options for documents; omit them"
            print(problem, file=sys.stderr)
            return EXIT_USAGE
        return _check_settings(arguments.file)


def _check_file(path: Path, checker: DocumentChecker, in_force: Any = None) -> Verdict:
    """Return the verdict on a file, which is an error if it can't be read."""
    match read_text(path):
        case Err(error):
            finding = Finding(Level.ERROR, "", error.problem, error.remedy)
            return Verdict(source_name(path), None, (finding,))
        case Ok(text):
            return checker.check(text, source_name(path), in_force)


def _check_settings(path: Path) -> int:
    """Check the settings file of a balancer."""
    match read_balancer_settings(path):
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_USAGE
        case Ok(_):
            print(f"{path}: the settings are valid")
            return EXIT_OK

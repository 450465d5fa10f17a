"""``pomelotrail check``: checks a document or a settings file."""

import argparse
import sys
from pathlib import Path

from result import Err, Ok

from pomelotrail_balancer.settings import read_balancer_settings
from pomelotrail_core.command_line import EXIT_FAILED, EXIT_OK, EXIT_USAGE, Command

from .document_file import read_document


class CheckCommand(Command):
    """Checks a configuration document, or the settings of a balancer."""

    name = "check"
    summary = "check a configuration document or a balancer's settings"
    examples = (
        "pomelotrail check document.yaml\n"
        "pomelotrail check - < document.yaml\n"
        "pomelotrail check --settings balancer-1.yaml"
    )

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

    def run(self, arguments: argparse.Namespace) -> int:
        """Check one file."""
        if arguments.settings:
            return _check_settings(arguments.file)
        return _check_document(arguments.file)


def _check_document(path: Path) -> int:
    """Check a document by the rules that every process applies."""
    match read_document(path):
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_FAILED
        case Ok(document):
            version = document.configuration.version
            print(f"{document.source}: version {version} is valid")
            return EXIT_OK


def _check_settings(path: Path) -> int:
    """Check the settings file of a balancer."""
    match read_balancer_settings(path):
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_USAGE
        case Ok(_):
            print(f"{path}: the settings are valid")
            return EXIT_OK

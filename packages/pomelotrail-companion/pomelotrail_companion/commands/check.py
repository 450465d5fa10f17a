"""The ``pomelotrail-companion check`` command."""

import argparse
import sys
from pathlib import Path

from result import Err, Ok

from pomelotrail_companion.settings import read_companion_settings
from pomelotrail_core.command_line import EXIT_OK, EXIT_USAGE, Command


class CheckCommand(Command):
    """Check the settings of a companion without running it."""

    name = "check"
    summary = "check a settings file"
    examples = "pomelotrail-companion check ledger-1.yaml"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("settings", type=Path, help="settings file (YAML)")

    def run(self, arguments: argparse.Namespace) -> int:
        """Check a settings file."""
        match read_companion_settings(arguments.settings):
            case Err(error):
                print(error, file=sys.stderr)
                return EXIT_USAGE
            case Ok(_):
                print(f"{arguments.settings}: the settings are valid")
                return EXIT_OK

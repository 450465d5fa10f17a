"""The ``pomelotrail-companion run`` command."""

import argparse
from pathlib import Path

from pomelotrail_companion.companion import async_run_companion
from pomelotrail_companion.settings import read_companion_settings
from pomelotrail_core.command_line import Command
from pomelotrail_core.starting.program import run_program


class RunCommand(Command):
    """Run a companion until SIGTERM or SIGINT."""

    name = "run"
    summary = "run the companion until SIGTERM"
    examples = "pomelotrail-companion run ledger-1.yaml"

    @property
    def uses_operator_security(self) -> bool:
        """Return False, because the settings name the certificates."""
        return False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("settings", type=Path, help="settings file (YAML)")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run a companion with the settings in a file."""
        return run_program(
            arguments.settings, read_companion_settings, async_run_companion
        )

"""``pomelotrail balancer``: runs a balancer."""

import argparse
from pathlib import Path

from pomelotrail_balancer.balancer import async_run_balancer
from pomelotrail_balancer.settings import read_balancer_settings
from pomelotrail_core.command_line import Command
from pomelotrail_core.starting.program import run_program


class BalancerCommand(Command):
    """Runs a balancer until SIGTERM or SIGINT."""

    name = "balancer"
    summary = "run a balancer until SIGTERM"
    examples = "pomelotrail balancer balancer-1.yaml"

    @property
    def uses_operator_security(self) -> bool:
        """Return False, because the settings name the certificates."""
        return False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("settings", type=Path, help="settings file (YAML)")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run a balancer with the settings in a file."""
        return run_program(
            arguments.settings, read_balancer_settings, async_run_balancer
        )

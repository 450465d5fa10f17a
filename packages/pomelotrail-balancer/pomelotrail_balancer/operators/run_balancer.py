"""``pomelotrail balancer``: runs a balancer."""

import argparse
import sys
from pathlib import Path

from result import Err, Ok

from pomelotrail_balancer.balancer import async_run_balancer
from pomelotrail_balancer.settings import read_balancer_settings
from pomelotrail_core.command_line import EXIT_USAGE, Command
from pomelotrail_core.logs import set_up_logs
from pomelotrail_core.peers import set_up_security
from pomelotrail_core.process import run_process


class BalancerCommand(Command):
    """Runs a balancer until SIGTERM or SIGINT."""

    name = "balancer"
    summary = "run a balancer until SIGTERM"
    examples = "pomelotrail balancer balancer-1.yaml"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("settings", type=Path, help="settings file (YAML)")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run a balancer with the settings in a file."""
        match read_balancer_settings(arguments.settings):
            case Err(error):
                print(error, file=sys.stderr)
                return EXIT_USAGE
            case Ok(settings):
                set_up_logs(settings.process.log_level, settings.process.log_format)
                if problem := set_up_security(settings.process.tls):
                    print(problem, file=sys.stderr)
                    return EXIT_USAGE
                return run_process(lambda stop: async_run_balancer(settings, stop))

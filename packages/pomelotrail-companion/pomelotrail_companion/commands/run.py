"""The ``pomelotrail-companion run`` command."""

import argparse
import sys
from pathlib import Path

from result import Err, Ok

from pomelotrail_companion.companion import async_run_companion
from pomelotrail_companion.settings import read_companion_settings
from pomelotrail_core.command_line import EXIT_USAGE, Command
from pomelotrail_core.logs import set_up_logs
from pomelotrail_core.peers import set_up_security
from pomelotrail_core.process import run_process


class RunCommand(Command):
    """Run a companion until SIGTERM or SIGINT."""

    name = "run"
    summary = "run the companion until SIGTERM"
    examples = "pomelotrail-companion run ledger-1.yaml"

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("settings", type=Path, help="settings file (YAML)")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run a companion with the settings in a file."""
        match read_companion_settings(arguments.settings):
            case Err(error):
                print(error, file=sys.stderr)
                return EXIT_USAGE
            case Ok(settings):
                process = settings.process
                set_up_logs(process.log_level, process.log_format)
                if problem := set_up_security(process.tls):
                    print(problem, file=sys.stderr)
                    return EXIT_USAGE
                return run_process(lambda stop: async_run_companion(settings, stop))

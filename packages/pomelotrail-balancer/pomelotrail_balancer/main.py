"""The ``pomelotrail`` program."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

from result import Err, Ok

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import set_up_logs
from pomelotrail_core.process import run_process

from .balancer import async_run_balancer
from .operators import run_check, run_timeline
from .operators.const import EXIT_OK, EXIT_USAGE
from .settings import read_balancer_settings


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the arguments name and exit with its code."""
    parsed = _parser().parse_args(arguments)
    sys.exit(parsed.run(parsed))


def _parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="pomelotrail", description="A layer-4 load balancer that meets targets."
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    balancer = commands.add_parser("balancer", help="run a balancer")
    balancer.add_argument("settings", type=Path, help="settings file (YAML)")
    balancer.set_defaults(run=lambda parsed: _run_balancer(parsed.settings))
    check = commands.add_parser("check", help="check a configuration document")
    check.add_argument("file", type=Path, help="document (YAML)")
    check.set_defaults(run=lambda parsed: run_check(parsed.file))
    timeline = commands.add_parser("timeline", help="show events of processes")
    timeline.add_argument(
        "addresses", nargs="+", type=_endpoint, help="control addresses, host:port"
    )
    timeline.set_defaults(run=lambda parsed: run_timeline(parsed.addresses))
    return parser


def _endpoint(text: str) -> Endpoint:
    """Read an endpoint given on the command line."""
    match Endpoint.parse(text):
        case Ok(endpoint):
            return endpoint
        case Err(error):
            raise argparse.ArgumentTypeError(str(error))


def _run_balancer(path: Path) -> int:
    """Run a balancer with the settings in a file."""
    match read_balancer_settings(path):
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_USAGE
        case Ok(settings):
            set_up_logs(settings.process.log_level)
            run_process(lambda stop: async_run_balancer(settings, stop))
            return EXIT_OK


if __name__ == "__main__":
    main()

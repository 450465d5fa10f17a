"""The ``pomelotrail-companion`` program."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from result import Err, Ok

from pomelotrail_core.logs import set_up_logs
from pomelotrail_core.process import run_process

from .companion import async_run_companion
from .settings import read_companion_settings

EXIT_OK: Final = 0
EXIT_USAGE: Final = 2


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the arguments name and exit with its code."""
    parsed = _parser().parse_args(arguments)
    sys.exit(parsed.run(parsed.settings))


def _parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="pomelotrail-companion",
        description="Serves callers on behalf of the backend server beside it.",
    )
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    for name, run, summary in (
        ("run", _run, "run the companion"),
        ("check", _check, "check a settings file"),
    ):
        command = commands.add_parser(name, help=summary)
        command.add_argument("settings", type=Path, help="settings file (YAML)")
        command.set_defaults(run=run)
    return parser


def _run(path: Path) -> int:
    """Run a companion with the settings in a file."""
    match read_companion_settings(path):
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_USAGE
        case Ok(settings):
            set_up_logs(settings.process.log_level)
            run_process(lambda stop: async_run_companion(settings, stop))
            return EXIT_OK


def _check(path: Path) -> int:
    """Check a settings file."""
    match read_companion_settings(path):
        case Err(error):
            print(error, file=sys.stderr)
            return EXIT_USAGE
        case Ok(_):
            print(f"{path}: the settings are valid")
            return EXIT_OK


if __name__ == "__main__":
    main()

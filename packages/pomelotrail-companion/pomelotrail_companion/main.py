"""The ``pomelotrail-companion`` program."""

import sys
from collections.abc import Sequence

import pomelotrail_core.early_signals  # noqa: F401 (imported first for its effect)
from pomelotrail_core.command_line import run_command_line

from .commands import COMMANDS


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the arguments name and exit with its code."""
    code = run_command_line(
        "pomelotrail-companion",
        "Serves callers on behalf of the backend server beside it.",
        COMMANDS,
        arguments,
    )
    sys.exit(code)


if __name__ == "__main__":
    main()

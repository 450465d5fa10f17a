"""Entry point of the ``pomelotrail`` command."""

import sys
from collections.abc import Sequence

import pomelotrail_core.early_signals  # noqa: F401 (imported first for its effect)
from pomelotrail_core.command_line import run_command_line

from .operators import COMMANDS


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the command that the arguments name and exit with its code."""
    code = run_command_line(
        "pomelotrail",
        "A layer-4 load balancer that meets targets: the balancer and its operators' "
        "commands.",
        COMMANDS,
        arguments,
    )
    sys.exit(code)


if __name__ == "__main__":
    main()

"""Runs the command selected by the arguments."""

import argparse
import errno
import io
import os
import sys
from collections.abc import Sequence

from pomelotrail_core.peers import set_up_operator_security
from pomelotrail_core.standard_streams import (
    discard_standard_output,
    replace_closed_streams,
)

from .command import Command
from .const import (
    EXIT_CODES_HELP,
    EXIT_FAILED,
    EXIT_OK,
    EXIT_USAGE,
    TLS_DIRECTORY_VARIABLE,
)


def run_command_line(
    program: str,
    description: str,
    commands: Sequence[Command],
    arguments: Sequence[str] | None = None,
) -> int:
    """Parse the arguments, run their command and return its exit code."""
    replace_closed_streams()
    if isinstance(sys.stdout, io.TextIOWrapper):
        # Texts of other processes may hold what the terminal can't show.
        sys.stdout.reconfigure(errors="backslashreplace")
    parsed = command_parser(program, description, commands).parse_args(arguments)
    directory = os.environ.get(TLS_DIRECTORY_VARIABLE, "")
    if not parsed.uses_operator_security:
        directory = ""
    if problem := set_up_operator_security(directory):
        print(problem, file=sys.stderr)
        return EXIT_USAGE
    try:
        code = parsed.run(parsed)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output, such as ``head``, closed the pipe: no failure.
        discard_standard_output()
        return EXIT_OK
    except OSError as error:
        if error.errno != errno.ENOSPC:
            raise
        discard_standard_output()
        print(f"{error}; free space where the output goes", file=sys.stderr)
        return EXIT_FAILED
    return code


def command_parser(
    program: str, description: str, commands: Sequence[Command]
) -> argparse.ArgumentParser:
    """Return the parser of a program's command line."""
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=EXIT_CODES_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(required=True, metavar="COMMAND")
    for command in commands:
        command.register(subparsers)
    return parser

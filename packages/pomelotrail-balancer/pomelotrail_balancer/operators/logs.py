"""``pomelotrail logs``: merges structured logs and follows one flow."""

import argparse
import sys
from pathlib import Path

from pomelotrail_core.command_line import EXIT_FAILED, EXIT_OK, Command

from .log_lines import read_lines, select_flow_lines


class LogsCommand(Command):
    """Shows the log lines of processes sorted by time, or those of one flow."""

    name = "logs"
    summary = "merge structured logs, or follow one flow through them"
    examples = (
        "pomelotrail logs entry-1.log side-4.log\n"
        "pomelotrail logs --flow 192.0.2.7:40001 *.log\n"
        "pomelotrail logs --server i-7f3a91c2 *.log"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument("files", type=Path, nargs="+", metavar="FILE")
        parser.add_argument(
            "--flow",
            default="",
            metavar="CALLER",
            help="address and port of the caller; adds lines on the state that decided",
        )
        parser.add_argument(
            "--server", default="", metavar="ID", help="only this backend server"
        )
        parser.add_argument("--event", default="", help="only this event")

    def run(self, arguments: argparse.Namespace) -> int:
        """Read the files and print the selected lines."""
        try:
            lines = read_lines(arguments.files)
        except OSError as error:
            print(f"{error}; name files that can be read", file=sys.stderr)
            return EXIT_FAILED
        if arguments.flow:
            lines = select_flow_lines(lines, arguments.flow)
        shown = [
            line
            for line in lines
            if arguments.server in ("", line.server)
            and arguments.event in ("", line.event)
        ]
        if not shown:
            print("no line; check the files and the caller's address", file=sys.stderr)
            return EXIT_FAILED
        for line in shown:
            print(line.text)
        return EXIT_OK

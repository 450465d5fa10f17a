"""``pomelotrail explain``: the history of one request or flow."""

import argparse

from result import Err, Ok

from pomelotrail_core.command_line import EXIT_FAILED, Command

from .explanation import explain_subject, find_subject
from .timeline_collection import add_collection_arguments, collect_timeline, print_error


class ExplainCommand(Command):
    """Shows what happened to a request or flow, and why."""

    name = "explain"
    summary = "tell what became of a request or flow, and why"
    examples = (
        "pomelotrail explain 9f2c66a1d0b34e75-4 --document document.yaml\n"
        "pomelotrail explain 9f2c66a1 192.0.2.7:7001 192.0.2.8:7001"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        parser.add_argument(
            "subject",
            metavar="REQUEST|FLOW",
            help="name from the time line; the first characters are enough",
        )
        add_collection_arguments(parser)

    def run(self, arguments: argparse.Namespace) -> int:
        """Collect the events and print the explanation."""
        match collect_timeline(arguments):
            case Err(error):
                print_error(error)
                return EXIT_FAILED
            case Ok(collected):
                pass
        match find_subject(collected.timeline, arguments.subject):
            case Err(error):
                print_error(error)
                collected.report()
                return EXIT_FAILED
            case Ok(subject):
                print("\n".join(explain_subject(collected.timeline, subject)))
                return collected.report()

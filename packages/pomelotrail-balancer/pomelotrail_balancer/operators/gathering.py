"""Gathers the time line for the commands that show it."""

import argparse
import asyncio
import sys
from collections.abc import Sequence

import attrs
from result import Err, Ok, Result

from pomelotrail_core.clock import SystemClock
from pomelotrail_core.command_line import argument_duration
from pomelotrail_core.peers import PeerError
from pomelotrail_core.timeline import ProcessEvents, Timeline, merge
from pomelotrail_core.timeline.client import async_collect_events

from .errors import CommandError
from .status import SilentProcess, report_silent
from .targets import Target, add_target_arguments, read_targets


@attrs.frozen
class Gathered:
    """The time line of the processes that answered, and who did not."""

    timeline: Timeline
    silent: tuple[SilentProcess, ...]

    @property
    def asked(self) -> int:
        """Return how many processes were asked."""
        return len(self.timeline.processes) + len(self.silent)

    @property
    def silent_names(self) -> list[str]:
        """Return the processes that gave no answer, as shown to operators."""
        return [str(each.target) for each in self.silent]

    def report(self) -> int:
        """Say who gave no answer and return the exit code."""
        return report_silent(self.silent, self.asked)


def add_gathering_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments that say whose events are read."""
    add_target_arguments(parser)
    parser.add_argument(
        "--last",
        type=argument_duration,
        metavar="DURATION",
        help="only events of this time before now, as 5min",
    )


def gather(arguments: argparse.Namespace) -> Result[Gathered, CommandError]:
    """Read the events of the processes that the arguments name."""
    match read_targets(arguments):
        case Err(error):
            return Err(error)
        case Ok(targets):
            endpoints = [target.endpoint for target in targets]
            answers = asyncio.run(
                async_collect_events(endpoints, SystemClock(), arguments.last)
            )
            return Ok(_sort_out(targets, answers))


def _sort_out(
    targets: Sequence[Target], answers: Sequence[Result[ProcessEvents, PeerError]]
) -> Gathered:
    """Separate who answered from who did not."""
    found: list[ProcessEvents] = []
    silent: list[SilentProcess] = []
    for target, answer in zip(targets, answers, strict=True):
        match answer:
            case Ok(events):
                found.append(events)
            case Err(error):
                silent.append(SilentProcess(target, error))
    return Gathered(merge(found), tuple(silent))


def print_error(error: CommandError) -> None:
    """Print an error for the operator."""
    print(error, file=sys.stderr)

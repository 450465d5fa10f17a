"""Collects the timeline for the commands that show it."""

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
from .status import UnresponsiveProcess, report_unresponsive
from .targets import Target, add_target_arguments, read_targets


@attrs.frozen
class CollectedTimeline:
    """The timeline of all processes that answered, and the unresponsive ones."""

    timeline: Timeline
    unresponsive: tuple[UnresponsiveProcess, ...]

    @property
    def queried_count(self) -> int:
        """Return the number of processes that were queried."""
        return len(self.timeline.processes) + len(self.unresponsive)

    @property
    def unresponsive_names(self) -> list[str]:
        """Return the display names of the unresponsive processes."""
        return [str(each.target) for each in self.unresponsive]

    def report(self) -> int:
        """Print the unresponsive processes and return the exit code."""
        return report_unresponsive(self.unresponsive, self.queried_count)


def add_collection_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments that select processes and events."""
    add_target_arguments(parser)
    parser.add_argument(
        "--last",
        type=argument_duration,
        metavar="DURATION",
        help="only events of this time before now, as 5min",
    )


def collect_timeline(
    arguments: argparse.Namespace,
) -> Result[CollectedTimeline, CommandError]:
    """Read the events of the selected processes."""
    match read_targets(arguments):
        case Err(error):
            return Err(error)
        case Ok(targets):
            endpoints = [target.endpoint for target in targets]
            answers = asyncio.run(
                async_collect_events(endpoints, SystemClock(), arguments.last)
            )
            return Ok(_partition_answers(targets, answers))


def _partition_answers(
    targets: Sequence[Target], answers: Sequence[Result[ProcessEvents, PeerError]]
) -> CollectedTimeline:
    """Separate the processes that answered from the unresponsive ones."""
    found: list[ProcessEvents] = []
    unresponsive: list[UnresponsiveProcess] = []
    for target, answer in zip(targets, answers, strict=True):
        match answer:
            case Ok(events):
                found.append(events)
            case Err(error):
                unresponsive.append(UnresponsiveProcess(target, error))
    return CollectedTimeline(merge(found), tuple(unresponsive))


def print_error(error: CommandError) -> None:
    """Print an error to standard error."""
    print(error, file=sys.stderr)

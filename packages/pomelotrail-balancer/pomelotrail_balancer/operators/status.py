"""``pomelotrail status``: shows the status of processes."""

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Sequence

import attrs
from grpclib.exceptions import GRPCError, StreamTerminatedError
from result import Err, Ok, Result

from pomelotrail_core.command_line import EXIT_FAILED, EXIT_OK, EXIT_PARTIAL, Command
from pomelotrail_core.command_line.const import TLS_DIRECTORY_VARIABLE
from pomelotrail_core.peers import PeerError, open_channel
from pomelotrail_core.peers.status_grpc import StatusStub
from pomelotrail_core.peers.status_pb2 import StatusReply, StatusRequest

from .const import (
    CLASS_FIGURE_PREFIX,
    FORMAT_JSON,
    FORMAT_TABLE,
    MAX_CONCURRENT_QUERIES,
    STATUS_TIMEOUT,
)
from .targets import Target, add_target_arguments, read_targets

_COLUMNS = ("PROCESS", "ZONE", "ROLE", "ADDRESS", "VERSION", "FIGURES")


class StatusCommand(Command):
    """Queries processes for their version in force and their figures."""

    name = "status"
    summary = "show what processes are doing"
    examples = (
        "pomelotrail status 192.0.2.7:7001 192.0.2.8:7001\n"
        "pomelotrail status --document document.yaml\n"
        "pomelotrail status --document document.yaml --format json"
    )

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the arguments."""
        add_target_arguments(parser)
        parser.add_argument(
            "--format", choices=[FORMAT_TABLE, FORMAT_JSON], default=FORMAT_TABLE
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Query all processes and print their answers."""
        match read_targets(arguments):
            case Err(error):
                print(error, file=sys.stderr)
                return EXIT_FAILED
            case Ok(targets):
                answers = asyncio.run(_async_query_all(targets))
        found = [answer.ok_value for answer in answers if answer.is_ok()]
        unresponsive = [answer.err_value for answer in answers if answer.is_err()]
        if arguments.format == FORMAT_JSON:
            print(_json(found, unresponsive))
        elif found:
            print(_table(found))
        return report_unresponsive(unresponsive, len(targets))


@attrs.frozen
class UnresponsiveProcess:
    """A process that gave no answer."""

    target: Target
    error: PeerError


@attrs.frozen
class ProcessStatus:
    """Status that one process returned."""

    target: Target
    reply: StatusReply

    @property
    def row(self) -> tuple[str, ...]:
        """Return the table cells; figures of classes are only in the JSON output."""
        figures = [
            f"{name}={value:g}"
            for name, value in sorted(self._figures.items())
            if not name.startswith(CLASS_FIGURE_PREFIX)
        ]
        return (
            self.reply.process,
            self.reply.zone,
            self.reply.role,
            str(self.target.endpoint),
            str(self.reply.configuration_version),
            " ".join(figures),
        )

    @property
    def _figures(self) -> dict[str, float]:
        """Return the figures by name."""
        return dict(self.reply.figures)

    def to_json(self) -> dict[str, object]:
        """Return the status as JSON data."""
        return {
            "process": self.reply.process,
            "zone": self.reply.zone,
            "role": self.reply.role,
            "address": str(self.target.endpoint),
            "configuration_version": self.reply.configuration_version,
            "figures": self._figures,
        }


def report_unresponsive(
    unresponsive: Sequence[UnresponsiveProcess], queried_count: int
) -> int:
    """Print the unresponsive processes and return the exit code."""
    for process in unresponsive:
        name = f"{process.target.name}: " if process.target.name else ""
        print(f"{name}{process.error}", file=sys.stderr)
    if not unresponsive:
        return EXIT_OK
    answered = queried_count - len(unresponsive)
    if not answered:
        print(f"no process answered{_tls_hint()}", file=sys.stderr)
        return EXIT_FAILED
    print(f"partial: {answered} of {queried_count} processes answered", file=sys.stderr)
    return EXIT_PARTIAL


def _tls_hint() -> str:
    """Return a hint on TLS settings for when no process answers."""
    if os.environ.get(TLS_DIRECTORY_VARIABLE):
        return ""
    return (
        f"; if the fleet's control connections use TLS, set {TLS_DIRECTORY_VARIABLE} "
        "to the directory with your certificate"
    )


async def _async_query_all(
    targets: Sequence[Target],
) -> list[Result[ProcessStatus, UnresponsiveProcess]]:
    """Query all processes with bounded concurrency."""
    semaphore = asyncio.Semaphore(MAX_CONCURRENT_QUERIES)

    async def async_query(target: Target) -> Result[ProcessStatus, UnresponsiveProcess]:
        """Query one process within the concurrency limit."""
        async with semaphore:
            return await _async_query(target)

    return list(await asyncio.gather(*(async_query(target) for target in targets)))


async def _async_query(target: Target) -> Result[ProcessStatus, UnresponsiveProcess]:
    """Query the status of one process."""
    channel = open_channel(target.endpoint)
    try:
        async with asyncio.timeout(STATUS_TIMEOUT.total_seconds()):
            reply = await StatusStub(channel).Get(StatusRequest())
        return Ok(ProcessStatus(target, reply))
    except TimeoutError:
        problem = f"silent for {STATUS_TIMEOUT.total_seconds():g} s"
    except (OSError, GRPCError, StreamTerminatedError) as error:
        problem = getattr(error, "strerror", None) or str(error)
    finally:
        channel.close()
    return Err(UnresponsiveProcess(target, PeerError(target.endpoint, problem)))


def _table(found: Sequence[ProcessStatus]) -> str:
    """Return the answers as a table."""
    rows = [_COLUMNS, *(status.row for status in found)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)


def _json(
    found: Sequence[ProcessStatus], unresponsive: Sequence[UnresponsiveProcess]
) -> str:
    """Return the answers as JSON."""
    content = {
        "processes": [status.to_json() for status in found],
        "no_answer": [
            {
                "process": each.target.name,
                "address": str(each.target.endpoint),
                "problem": each.error.problem,
            }
            for each in unresponsive
        ],
    }
    return json.dumps(content, indent=2)

"""``pomelotrail status``: what processes are doing."""

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
    ASKED_AT_ONCE,
    CLASS_FIGURE_PREFIX,
    FORMAT_JSON,
    FORMAT_TABLE,
    STATUS_TIMEOUT,
)
from .targets import Target, add_target_arguments, read_targets

_COLUMNS = ("PROCESS", "ZONE", "ROLE", "ADDRESS", "VERSION", "FIGURES")


class StatusCommand(Command):
    """Asks processes for their version in force and their figures."""

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
        """Ask all processes and show what they answered."""
        match read_targets(arguments):
            case Err(error):
                print(error, file=sys.stderr)
                return EXIT_FAILED
            case Ok(targets):
                answers = asyncio.run(_async_ask_all(targets))
        found = [answer.ok_value for answer in answers if answer.is_ok()]
        silent = [answer.err_value for answer in answers if answer.is_err()]
        if arguments.format == FORMAT_JSON:
            print(_json(found, silent))
        elif found:
            print(_table(found))
        return report_silent(silent, len(targets))


@attrs.frozen
class SilentProcess:
    """A process that gave no answer."""

    target: Target
    error: PeerError


@attrs.frozen
class ProcessStatus:
    """What one process answered."""

    target: Target
    reply: StatusReply

    @property
    def row(self) -> tuple[str, ...]:
        """Return the cells of the table; figures of classes stand in JSON only."""
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


def report_silent(silent: Sequence[SilentProcess], asked: int) -> int:
    """Say who gave no answer and return the exit code."""
    for each in silent:
        name = f"{each.target.name}: " if each.target.name else ""
        print(f"{name}{each.error}", file=sys.stderr)
    if not silent:
        return EXIT_OK
    answered = asked - len(silent)
    if not answered:
        print(f"no process answered{_tls_hint()}", file=sys.stderr)
        return EXIT_FAILED
    print(f"partial: {answered} of {asked} processes answered", file=sys.stderr)
    return EXIT_PARTIAL


def _tls_hint() -> str:
    """Return what may be missing when nobody answers."""
    if os.environ.get(TLS_DIRECTORY_VARIABLE):
        return ""
    return (
        f"; if the fleet's control connections use TLS, set {TLS_DIRECTORY_VARIABLE} "
        "to the directory with your certificate"
    )


async def _async_ask_all(
    targets: Sequence[Target],
) -> list[Result[ProcessStatus, SilentProcess]]:
    """Ask all processes, a bounded number of them at once."""
    gate = asyncio.Semaphore(ASKED_AT_ONCE)

    async def async_ask(target: Target) -> Result[ProcessStatus, SilentProcess]:
        """Ask one process when it is its turn."""
        async with gate:
            return await _async_ask(target)

    return list(await asyncio.gather(*(async_ask(target) for target in targets)))


async def _async_ask(target: Target) -> Result[ProcessStatus, SilentProcess]:
    """Ask one process for its status."""
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
    return Err(SilentProcess(target, PeerError(target.endpoint, problem)))


def _table(found: Sequence[ProcessStatus]) -> str:
    """Return the answers as a table."""
    rows = [_COLUMNS, *(status.row for status in found)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)


def _json(found: Sequence[ProcessStatus], silent: Sequence[SilentProcess]) -> str:
    """Return the answers as JSON."""
    content = {
        "processes": [status.to_json() for status in found],
        "no_answer": [
            {
                "process": each.target.name,
                "address": str(each.target.endpoint),
                "problem": each.error.problem,
            }
            for each in silent
        ],
    }
    return json.dumps(content, indent=2)

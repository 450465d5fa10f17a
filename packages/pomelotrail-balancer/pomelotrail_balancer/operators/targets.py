"""Selects the processes that a command queries."""

import argparse
from collections.abc import Sequence
from pathlib import Path

import attrs
from result import Err, Ok, Result

from pomelotrail_core.command_line import argument_endpoint
from pomelotrail_core.configuration import Configuration
from pomelotrail_core.endpoint import Endpoint

from .document_file import read_document
from .errors import CommandError


@attrs.frozen
class Target:
    """The control address of a process, with its name if known."""

    endpoint: Endpoint
    name: str = ""

    def __str__(self) -> str:
        """Return name and address."""
        return f"{self.name} ({self.endpoint})" if self.name else str(self.endpoint)


def add_target_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the arguments for addresses and a document."""
    parser.add_argument(
        "addresses",
        nargs="*",
        type=argument_endpoint,
        metavar="ADDRESS",
        help="control address of a process, as 192.0.2.7:7001",
    )
    parser.add_argument(
        "--document",
        type=Path,
        metavar="FILE",
        help="ask every balancer and companion that this document names",
    )


def read_targets(
    arguments: argparse.Namespace,
) -> Result[list[Target], CommandError]:
    """Return the processes selected by the arguments."""
    targets = [Target(endpoint) for endpoint in arguments.addresses]
    if arguments.document is not None:
        match read_document(arguments.document):
            case Err(error):
                return Err(error)
            case Ok(document):
                targets.extend(document_targets(document.configuration))
    if not targets:
        return Err(
            CommandError("no process is named; give addresses or --document FILE")
        )
    return Ok(_unique_targets(targets))


def document_targets(configuration: Configuration) -> list[Target]:
    """Return every balancer and companion of a configuration."""
    companions = [
        server
        for service in configuration.services
        for server in service.backend_servers
    ]
    nodes = [*configuration.balancers, *companions]
    return [Target(node.control, node.name) for node in nodes]


def _unique_targets(targets: Sequence[Target]) -> list[Target]:
    """Return one target per endpoint, with a name if any entry has one."""
    named = {target.endpoint: target for target in targets if target.name}
    unique = {target.endpoint: target for target in targets}
    return [named.get(endpoint, unique[endpoint]) for endpoint in unique]

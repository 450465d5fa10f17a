"""The commands that operators run."""

from typing import Final

from pomelotrail_core.command_line import Command

from .check import CheckCommand
from .explain import ExplainCommand
from .logs import LogsCommand
from .order import BackendCommand, ZoneCommand
from .run_balancer import BalancerCommand
from .status import StatusCommand
from .timeline import TimelineCommand

COMMANDS: Final[tuple[Command, ...]] = (
    BalancerCommand(),
    CheckCommand(),
    StatusCommand(),
    ZoneCommand(),
    BackendCommand(),
    TimelineCommand(),
    ExplainCommand(),
    LogsCommand(),
)

__all__ = ["COMMANDS"]

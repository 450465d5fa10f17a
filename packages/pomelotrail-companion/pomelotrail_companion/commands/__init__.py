"""The commands of the companion's program."""

from typing import Final

from pomelotrail_core.command_line import Command

from .check import CheckCommand
from .run import RunCommand

COMMANDS: Final[tuple[Command, ...]] = (RunCommand(), CheckCommand())

__all__ = ["COMMANDS"]

"""Command line framework shared by both programs."""

from .arguments import argument_duration, argument_endpoint
from .command import Command
from .const import EXIT_FAILED, EXIT_OK, EXIT_PARTIAL, EXIT_USAGE
from .program import run_command_line

__all__ = [
    "EXIT_FAILED",
    "EXIT_OK",
    "EXIT_PARTIAL",
    "EXIT_USAGE",
    "Command",
    "argument_duration",
    "argument_endpoint",
    "run_command_line",
]

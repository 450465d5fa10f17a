"""Reads what a program needs and runs it."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol, TypeVar

import attrs
from result import Err, Ok, Result

from pomelotrail_core.clock import SystemClock
from pomelotrail_core.command_line.const import EXIT_USAGE
from pomelotrail_core.logs import get_logger, set_up_logs
from pomelotrail_core.peers import install_security, load_security
from pomelotrail_core.process import StopEvent, run_process
from pomelotrail_core.settings import SettingsError
from pomelotrail_core.settings.process_settings import ProcessSettings
from pomelotrail_core.standard_streams import print_error

from .files import read_files

_LOGGER = get_logger("process")


class ProgramSettings(Protocol):
    """The settings of a program, with those that all programs have."""

    @property
    def process(self) -> ProcessSettings:
        """Return the settings that all programs have."""


SettingsT = TypeVar("SettingsT", bound=ProgramSettings)


def run_program(
    path: Path,
    read: Callable[[Path], Result[SettingsT, SettingsError]],
    async_run: Callable[[SettingsT, StopEvent], Awaitable[None]],
) -> int:
    """Run a program with the settings in a file and return the exit code.

    Settings and certificates that are absent or half written are waited for::

        run_program(path, read_balancer_settings, async_run_balancer)
    """
    clock = SystemClock()
    match read_files([path], lambda: read(path), clock):
        case Err(error):
            print_error(str(error))
            return EXIT_USAGE
        case Ok(settings):
            process = settings.process
    set_up_logs(process.log_level, process.log_format)
    paths = [] if process.tls is None else list(attrs.astuple(process.tls))
    match read_files(paths, lambda: load_security(process.tls), clock):
        case Err(error):
            _LOGGER.error("The start failed: %s", error)
            return EXIT_USAGE
        case Ok(security):
            install_security(security)
    return run_process(lambda stop: async_run(settings, stop))

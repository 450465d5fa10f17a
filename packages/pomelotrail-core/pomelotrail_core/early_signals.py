"""Signals that arrive while a program is being imported.

Importing a program takes hundreds of milliseconds, before the handlers of its event
loop stand. The entry points import this module first.
"""

import signal
import sys
from typing import Final

# The commands that run a program: ``pomelotrail balancer``, ``pomelotrail-companion
# run``. The others keep the default actions, as operators expect of commands.
_PROGRAM_COMMANDS: Final = ("balancer", "run")


def prepare_for_signals() -> None:
    """Ignore SIGHUP, and end on SIGINT as on SIGTERM, without a traceback."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Programs in the background of a shell ignore SIGINT, and go on doing so.
    if signal.getsignal(signal.SIGINT) is signal.default_int_handler:
        signal.signal(signal.SIGINT, signal.SIG_DFL)


if sys.argv[1:2] and sys.argv[1] in _PROGRAM_COMMANDS:
    prepare_for_signals()

"""Opens the addresses of a process, which a predecessor may still hold."""

import errno
from collections.abc import Awaitable, Callable
from typing import Final, TypeVar

from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import get_logger

from .const import ADDRESS_RETRY_INTERVAL, ADDRESS_WAIT
from .errors import StartError

_LOGGER = get_logger("start")
# In use, or not assigned to an interface of this VM yet.
_TEMPORARY: Final = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
_REMEDIES: Final = {
    errno.EADDRINUSE: "end the program that holds it, or change the setting",
    errno.EADDRNOTAVAIL: "assign the address to this VM, or change the setting",
    errno.EMFILE: "raise the limit of open files of this process",
    errno.ENFILE: "raise the limit of open files of this VM",
    errno.EACCES: "allow the port to this user, or change the setting",
}

OpenedT = TypeVar("OpenedT")


async def async_open_address(
    field: str,
    endpoint: Endpoint,
    async_open: Callable[[], Awaitable[OpenedT]],
    clock: Clock,
) -> OpenedT:
    """Return what ``async_open`` opens at the endpoint of a setting.

    While the address is in use, it is tried again, for ``ADDRESS_WAIT`` at most::

        await async_open_address("control", endpoint, server.async_start, clock)
    """
    deadline = clock.monotonic() + ADDRESS_WAIT
    is_logged = False
    while True:
        try:
            return await async_open()
        except OSError as error:
            problem = f"address {endpoint} can't be used ({_describe(error)})"
            is_temporary = error.errno in _TEMPORARY
            if not is_temporary or clock.monotonic() >= deadline:
                if is_temporary:
                    problem += f", waited {ADDRESS_WAIT.total_seconds():.0f} s"
                raise StartError(
                    field,
                    problem,
                    _REMEDIES.get(error.errno or 0, "change the setting"),
                ) from error
        if not is_logged:
            _LOGGER.warning(
                "%s: %s; waiting for it, up to %d s",
                field,
                problem,
                ADDRESS_WAIT.total_seconds(),
            )
            is_logged = True
        await clock.async_sleep(ADDRESS_RETRY_INTERVAL)


def _describe(error: OSError) -> str:
    """Return the cause of an error without the address."""
    return errno.errorcode.get(error.errno or 0, "") or str(error)

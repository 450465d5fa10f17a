"""Server side of control connections."""

from collections.abc import Sequence
from typing import Any

from grpclib.server import Server

from pomelotrail_core.endpoint import Endpoint

from .security import installed_security


class ControlServer:
    """Serves all grpclib services of a process at one control address."""

    def __init__(self, endpoint: Endpoint, handlers: Sequence[Any]) -> None:
        """Serve the handlers at the endpoint."""
        self._endpoint = endpoint
        self._server = Server(handlers)
        self._is_started = False

    async def async_start(self) -> None:
        """Start listening."""
        await self._server.start(
            self._endpoint.host, self._endpoint.port, ssl=installed_security().server
        )
        self._is_started = True

    async def async_stop(self) -> None:
        """Stop listening and wait until open calls have ended."""
        if not self._is_started:
            return
        self._server.close()
        await self._server.wait_closed()

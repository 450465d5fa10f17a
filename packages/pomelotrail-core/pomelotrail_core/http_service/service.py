"""Answers GET requests at one address, with one task per connection."""

import asyncio
from collections.abc import Mapping

from pomelotrail_core.endpoint import Endpoint

from .const import MAX_CONNECTIONS, READ_BYTES
from .messages import Handler


class HttpService:
    """Serves fixed paths::

    service = HttpService({"/ready": async_ready})
    await service.async_start(Endpoint("192.0.2.7", 8080))
    """

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        """Serve each path with its handler."""
        self._handlers = handlers
        self._server: asyncio.Server | None = None
        self._connections = 0

    @property
    def port(self) -> int:
        """Return the port that the service listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def async_start(self, endpoint: Endpoint) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._async_serve, endpoint.host, endpoint.port, limit=READ_BYTES
        )

    async def async_stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection."""
        # Importing the parser takes 2 ms at each start, and companions get no requests.
        from .connection import async_serve_connection

        self._connections += 1
        try:
            if self._connections <= MAX_CONNECTIONS:
                await async_serve_connection(self._handlers, reader, writer)
        finally:
            self._connections -= 1
            writer.close()

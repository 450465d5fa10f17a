"""Answers GET requests at one address, with one task per connection."""

import asyncio
import socket
from collections.abc import Mapping
from typing import Final

from pomelotrail_core.clock import Clock
from pomelotrail_core.counters import Counters
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog

from .const import (
    LISTEN_BACKLOG,
    MAX_CONNECTIONS,
    READ_BYTES,
    RETRY_DELAY_FIRST,
    RETRY_DELAY_LAST,
    TEMPORARY_ACCEPT_ERRORS,
)
from .messages import Handler

_REMEDY: Final = (
    "free the address or raise the limit that the problem names; it is tried again"
)


class HttpService:
    """Serves fixed paths, and tries again whatever fails::

    service = HttpService({"/ready": async_ready}, "readiness", clock, log, counters)
    await service.async_serve(Endpoint("192.0.2.7", 8080))

    An address that can't be used, a connection that can't be accepted and a handler
    that fails are logged and counted; they end neither the service nor the process.
    """

    def __init__(
        self,
        handlers: Mapping[str, Handler],
        purpose: str,
        clock: Clock,
        log: EventLog,
        counters: Counters,
    ) -> None:
        """Serve each path with its handler; log lines name the purpose."""
        self._handlers = handlers
        self._purpose = purpose
        self._clock = clock
        self._log = log
        self._counters = counters
        self._listening: socket.socket | None = None
        self._connections: set[asyncio.Task] = set()
        self._problem = ""
        self._delay = RETRY_DELAY_FIRST

    @property
    def port(self) -> int:
        """Return the port that the service listens on, or 0 if it doesn't listen."""
        return self._listening.getsockname()[1] if self._listening is not None else 0

    async def async_serve(self, endpoint: Endpoint) -> None:
        """Serve at an address until cancelled."""
        try:
            while True:
                try:
                    await self._async_listen_and_accept(endpoint)
                except Exception as error:  # noqa: BLE001
                    self._report_failure(endpoint, error)
                    if not _is_temporary(error):
                        self._close()
                await self._async_back_off()
        finally:
            self._close()

    async def _async_listen_and_accept(self, endpoint: Endpoint) -> None:
        """Listen unless it does already, and accept connections until one fails."""
        if self._listening is None:
            self._listening = _open_listening_socket(endpoint)
            self._report_success(endpoint)
        listening = self._listening
        while True:
            await _async_wait_readable(listening)
            # Importing the parser takes 2 ms at each start, and companions get no
            # requests. The import comes before the connection is accepted, so it can
            # use the descriptor that the connection needs later.
            from .connection import async_serve_connection  # noqa: F401

            try:
                connection, _ = listening.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                # The client disconnected before its connection was accepted.
                continue
            self._report_success(endpoint)
            self._serve(connection)

    def _serve(self, connection: socket.socket) -> None:
        """Start the task of a connection, or close it if there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            self._counters.add("http_connections_refused")
            connection.close()
            return
        task = asyncio.create_task(self._async_serve_connection(connection))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _async_serve_connection(self, connection: socket.socket) -> None:
        """Answer the requests of one connection, and close it."""
        from .connection import async_serve_connection

        try:
            reader, writer = await asyncio.open_connection(
                sock=connection, limit=READ_BYTES
            )
            try:
                await async_serve_connection(self._handlers, reader, writer)
            finally:
                writer.close()
        except Exception as error:  # noqa: BLE001
            connection.close()
            self._counters.add("http_requests_failed")
            self._log.write(
                "process",
                "http_request_failed",
                serves=self._purpose,
                problem=str(error) or repr(error),
            )

    def _report_failure(self, endpoint: Endpoint, error: Exception) -> None:
        """Count a failure, and log it if it is a new one."""
        self._counters.add("http_listen_failures")
        problem = str(error) or repr(error)
        if problem == self._problem:
            return
        self._problem = problem
        self._log.write(
            "process",
            "listen_failed",
            address=str(endpoint),
            serves=self._purpose,
            problem=problem,
            remedy=_REMEDY,
        )

    def _report_success(self, endpoint: Endpoint) -> None:
        """Log that the address works again."""
        self._delay = RETRY_DELAY_FIRST
        if not self._problem:
            return
        self._problem = ""
        self._log.write(
            "process", "listening", address=str(endpoint), serves=self._purpose
        )

    async def _async_back_off(self) -> None:
        """Wait before the next attempt, and longer the next time."""
        delay = self._delay
        self._delay = min(2 * delay, RETRY_DELAY_LAST)
        await self._clock.async_sleep(delay)

    def _close(self) -> None:
        """Stop listening."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None


def _open_listening_socket(endpoint: Endpoint) -> socket.socket:
    """Return a non-blocking socket that listens on an address."""
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setblocking(False)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.bind(endpoint.socket_address)
        listening.listen(LISTEN_BACKLOG)
    except BaseException:
        listening.close()
        raise
    return listening


async def _async_wait_readable(listening: socket.socket) -> None:
    """Wait until a connection can be accepted."""
    loop = asyncio.get_running_loop()
    readable = loop.create_future()
    descriptor = listening.fileno()
    loop.add_reader(descriptor, _set_result, readable)
    try:
        await readable
    finally:
        loop.remove_reader(descriptor)


def _set_result(readable: asyncio.Future[None]) -> None:
    """Resume the waiting task; the socket may be reported more than once."""
    if not readable.done():
        readable.set_result(None)


def _is_temporary(error: Exception) -> bool:
    """Return whether the listening socket works again when resources are free."""
    return not isinstance(error, OSError) or error.errno in TEMPORARY_ACCEPT_ERRORS

"""Builders of documents, command runs and processes for tests."""

import asyncio
import contextlib
import io
import os
import threading
from collections.abc import Iterator
from datetime import datetime, timedelta
from unittest import mock

import attrs

from harness.fleet import PortReserver
from pomelotrail_balancer.main import main
from pomelotrail_core.clock import Clock, SystemClock
from pomelotrail_core.command_line.const import TLS_DIRECTORY_VARIABLE
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import ControlServer
from pomelotrail_core.peers.status import StatusService
from pomelotrail_core.timeline import Recorder
from pomelotrail_core.timeline.service import TimelineService

COMMENTED_DOCUMENT = """\
# Kesar Tidewater · કેસર 🦞, reviewed every Monday
version: 12   # raised by the tool
zones:
  - {name: veraval, number: 1}  # the harbour
  - name: porbandar
    number: 2   # two racks
  - {name: jafrabad, number: 3, out: false}
services:
  - name: stock-ledger
    number: 1
    classes:
      - {name: read-board, method: GET, path: /board,
         target: {within: 300 ms, share: 0.99}}
    backend_servers:
      - name: ledger-1   # the old one
        zone: veraval
        packets: 192.0.2.1:7000
        control: 192.0.2.1:7001
        slots: 5
        connections: 2000

      - {name: ledger-2, zone: porbandar, packets: "192.0.2.2:7000",
         control: "192.0.2.2:7001", slots: 5, connections: 2000}
"""


@attrs.frozen
class CommandOutcome:
    """Output and exit code of a command."""

    code: int
    output: str
    errors: str


def run_command(*arguments: str, standard_input: str | bytes = "") -> CommandOutcome:
    """Run ``pomelotrail`` with these arguments in this process."""
    output, errors = io.StringIO(), io.StringIO()
    if isinstance(standard_input, str):
        standard_input = standard_input.encode()
    with (
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
        mock.patch("sys.stdin", io.TextIOWrapper(io.BytesIO(standard_input))),
        mock.patch.dict(os.environ),
    ):
        os.environ.pop(TLS_DIRECTORY_VARIABLE, None)
        try:
            main(arguments)
            code = 0
        except SystemExit as exit_request:
            code = int(exit_request.code or 0)
    return CommandOutcome(code, output.getvalue(), errors.getvalue())


class SkewedClock(SystemClock):
    """A clock whose wall time is offset."""

    def __init__(self, skew: timedelta) -> None:
        """Initialize the clock with its offset."""
        self._skew = skew
        self._advanced = timedelta()

    def jump(self, by: timedelta) -> None:
        """Advance the clock, so that earlier records age."""
        self._advanced += by

    def now(self) -> datetime:
        """Return the offset wall time."""
        return super().now() + self._skew + self._advanced

    def monotonic(self) -> timedelta:
        """Return the monotonic time, including the advanced time."""
        return super().monotonic() + self._advanced


@attrs.frozen
class AnsweringProcess:
    """A process that serves its control address."""

    endpoint: Endpoint
    recorder: Recorder


@contextlib.contextmanager
def answering_process(
    name: str, clock: Clock | None = None, zone: str = "veraval"
) -> Iterator[AnsweringProcess]:
    """Serve status and timeline of a process in a separate thread."""
    endpoint = PortReserver().reserve()
    recorder = Recorder(name, zone, clock or SystemClock())
    started, stop = threading.Event(), asyncio.Event()
    loop = asyncio.new_event_loop()

    async def async_serve() -> None:
        """Serve until the test has ended."""
        status = StatusService(
            name, zone, "companion", lambda: 12, lambda: {"flows": 3}
        )
        server = ControlServer(endpoint, [TimelineService(recorder), status])
        await server.async_start()
        started.set()
        await stop.wait()
        await server.async_stop()

    thread = threading.Thread(target=loop.run_until_complete, args=(async_serve(),))
    thread.start()
    started.wait()
    try:
        yield AnsweringProcess(endpoint, recorder)
    finally:
        loop.call_soon_threadsafe(stop.set)
        thread.join()
        loop.close()

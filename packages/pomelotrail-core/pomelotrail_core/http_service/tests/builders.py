"""Builders of services for tests."""

import json
import socket
from collections.abc import Mapping

from harness.flow_fleet import MemoryLogWriter
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog
from pomelotrail_core.http_service import HttpService
from pomelotrail_core.http_service.messages import Handler


class LoggedService:
    """A service with its log and counters."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        """Create the service; it doesn't listen yet."""
        clock = SystemClock()
        self.counters = Counters()
        self._writer = MemoryLogWriter()
        self._log = EventLog("edge-1", clock, self._writer)
        self.service = HttpService(handlers, "metrics", clock, self._log, self.counters)

    def lines(self) -> list[dict]:
        """Return the lines of the log."""
        self._log.flush()
        return [json.loads(line) for line in self._writer.content.splitlines()]

    def events(self) -> list[str]:
        """Return the events of the log."""
        return [line["event"] for line in self.lines()]


def hold_address() -> socket.socket:
    """Return a socket that listens on an address that another program wants."""
    held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    held.bind(("127.0.0.1", 0))
    held.listen()
    return held

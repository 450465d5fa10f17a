"""Tests of the speeds of servers beside their peers."""

import unittest
from datetime import timedelta

import msgspec

from pomelotrail_balancer.placement import ServerSpeeds
from pomelotrail_balancer.placement.const import MIN_SPEED, SPEED_KEPT_FOR
from pomelotrail_core.counters import Counters
from pomelotrail_core.event_log import EventLog

from .builders import companion

_ROUTE = b"route-a"
_MILLISECOND = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)


class _Lines(EventLog):
    """Keeps the events instead of writing them."""

    def __init__(self) -> None:
        """Initialize without events."""
        self.events: list[dict[str, object]] = []

    def write(self, part: str, event: str, **fields: object) -> None:
        """Keep one event."""
        self.events.append({"event": f"{part} {event}", **fields})


class ServerSpeedsTest(unittest.TestCase):
    """Eight servers with one slot each."""

    def setUp(self) -> None:
        """Create the servers without reports."""
        self.log = _Lines()
        self.speeds = ServerSpeeds(self.log, Counters())
        self.servers = [companion(number, slots=1) for number in range(1, 9)]
        self.now = timedelta()

    def report(self, *works_ms: float, route: bytes = _ROUTE) -> None:
        """Let servers report their work times, a second after the last reports."""
        self.now += _SECOND
        for server, work_ms in zip(self.servers, works_ms, strict=False):
            self.speeds.record(server, route, work_ms * _MILLISECOND, self.now)

    def slow(self) -> dict[int, float]:
        """Return the speeds of the slow servers by number."""
        speeds = self.speeds.slow_servers("ledger", self.now)
        return {
            number: round(speeds[server], 2)
            for number, server in enumerate(self.servers, 1)
            if server in speeds
        }

    def test_two_speeds(self) -> None:
        """Servers at half the speed of the others are slow, whichever are more."""
        self.report(10, 10, 10, 10, 10, 10, 22, 22)
        self.assertEqual(self.slow(), {7: 0.61, 8: 0.61})
        self.report(22, 22, 22, 22, 22, 10, 10, 10)
        self.assertEqual(set(self.slow()), {1, 2, 3, 4, 5})

    def test_equal_servers(self) -> None:
        """Servers that differ as chance has it count as equal."""
        self.report(9, 11, 10, 12, 8.5, 9.5, 10.5, 11.5)
        self.assertEqual(self.slow(), {})

    def test_service_that_slows_down(self) -> None:
        """If all servers become slower, none is slow."""
        self.report(*[10] * 8)
        self.report(*[50] * 8)
        self.assertEqual(self.slow(), {})

    def test_cold_server(self) -> None:
        """A cold server, which works 1.6 times as long, is little slower."""
        self.report(*[10] * 7, 16)
        self.assertEqual(self.slow(), {8: 0.84})
        self.report(*[10] * 7, 11)
        self.assertEqual(self.slow(), {})

    def test_fast_failures(self) -> None:
        """A server that answers quickly because it fails doesn't slow the others."""
        self.report(0.5, 10, 10, 10, 10, 10, 10, 10)
        self.assertEqual(self.slow(), {})

    def test_routes_apart(self) -> None:
        """Servers are compared for the same kind of work only."""
        self.report(10, 10, 10, 10)
        self.report(*[80] * 8, route=b"route-b")
        self.assertEqual(self.slow(), {})
        self.report(*[10] * 7, 50)
        self.assertEqual(self.slow(), {8: 0.6})

    def test_few_peers(self) -> None:
        """With three reports there are too few peers."""
        self.report(10, 10, 50)
        self.assertEqual(self.slow(), {})

    def test_slowed_for_seconds(self) -> None:
        """A slow server without flows returns to the usual speed as reports age."""
        self.report(*[10] * 7, 1_000)
        self.assertEqual(self.slow(), {8: round(MIN_SPEED, 2)})
        previous = 0.0
        for _ in range(SPEED_KEPT_FOR // _SECOND - 1):
            self.report(*[10] * 7)
            speed = self.slow()[8]
            self.assertGreaterEqual(speed, previous)
            previous = speed
        self.report(*[10] * 7)
        self.assertEqual(self.slow(), {})
        logged = [event["speed"] for event in self.log.events]
        self.assertEqual((logged[0], logged[-1]), (0.12, 1.0))
        self.assertLess(len(logged), 14)

    def test_server_that_started_again(self) -> None:
        """A new server under the identity of a slow one doesn't inherit its speed."""
        self.report(*[10] * 7, 50)
        self.assertEqual(set(self.slow()), {8})
        server = self.servers[7].server
        self.servers[7].server = msgspec.structs.replace(server, started_ms=9)
        self.now += _SECOND
        self.assertEqual(self.slow(), {})

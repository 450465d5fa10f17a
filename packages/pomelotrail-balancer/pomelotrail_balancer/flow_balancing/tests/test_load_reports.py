"""Tests of which reports of companions are believed."""

import unittest
from datetime import timedelta
from unittest import mock

from pomelotrail_balancer.flow_balancing.load_reports import LoadReports
from pomelotrail_balancer.placement import CompanionView, ServerSpeeds
from pomelotrail_balancer.placement.tests.builders import companion
from pomelotrail_core.counters import Counters
from pomelotrail_core.offers import OfferReply, Outcome

_ROUTE = b"route-a"
_NOW = timedelta(seconds=5)


class LoadReportsTest(unittest.TestCase):
    """Reports of five servers, of which the last one is slow."""

    def setUp(self) -> None:
        """Create the servers without reports."""
        log, clock = mock.Mock(), mock.Mock()
        clock.monotonic.return_value = _NOW
        self.counters = Counters()
        self.speeds = ServerSpeeds(log, self.counters)
        self.reports = LoadReports(self.speeds, clock, log, self.counters)

    def slow_after(
        self,
        outcome: Outcome = Outcome.ACCEPTED,
        concurrency: int = 1,
        slots: int = 1,
        slow_ms: float = 50.0,
    ) -> CompanionView | None:
        """Return the slow server after one report each; None if none is slow."""
        views = [companion(number, slots=slots) for number in range(1, 6)]
        for view, work_ms in zip(views, (10.0,) * 4 + (slow_ms,), strict=True):
            reply = OfferReply(1, outcome, 1, 1, work_ms, concurrency)
            self.reports.record(view, reply, _ROUTE)
        return next(iter(self.speeds.slow_servers("ledger", _NOW)), None)

    def test_slow_server(self) -> None:
        """The processing times of a route show which server is slow."""
        slow = self.slow_after()
        assert slow is not None
        self.assertEqual(slow.server.identity, "server-5")

    def test_times_that_are_no_evidence(self) -> None:
        """Times of all routes, of another service or of several slots don't count."""
        self.assertIsNone(self.slow_after(concurrency=0))
        self.assertIsNone(self.slow_after(Outcome.OTHER_SERVICE))
        self.assertIsNone(self.slow_after(slots=4))

    def test_implausible_reports(self) -> None:
        """Reports outside the possible range are counted and not believed."""
        for work_ms in (-1.0, 1e9, float("nan"), float("inf")):
            self.assertIsNone(self.slow_after(slow_ms=work_ms))
        self.assertEqual(self.counters.value("reports_implausible"), 4)
        self.assertIsNone(self.slow_after(concurrency=-1))
        self.assertIsNone(self.slow_after(concurrency=10**9))

    def test_work_of_all_routes(self) -> None:
        """Between two routes, the time of a usual request follows their shares."""
        view = companion(1, slots=1)
        for route, work_ms in ((_ROUTE, 10.0), (b"b", 100.0)) * 50:
            self.reports.record(
                view, OfferReply(1, Outcome.ACCEPTED, 1, 1, work_ms, 1), route
            )
        self.assertTrue(50 < view.work / timedelta(milliseconds=1) < 60, view.work)

"""Tests for suspicion: monitors, reports, views and the roster."""

import unittest
from datetime import timedelta

import attrs
from hypothesis import given
from hypothesis import strategies as st

from harness.builders import backend_server, configuration
from harness.fake_clock import FakeClock
from pomelotrail_core.configuration import Balancer, Configuration
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.membership import Roster
from pomelotrail_core.membership.const import (
    HEARTBEAT_INTERVAL,
    HEARTBEAT_TIMEOUT,
    MAX_SUSPECTED,
    MONITORS_PER_COMPANION,
    RECONNECT_TIMEOUT,
    REPORT_REFRESH_MIN,
    TRUST_AFTER_MAX,
    VIEW_INTERVAL_MIN,
)
from pomelotrail_core.membership.identity import process_id
from pomelotrail_core.membership.monitor_choice import choose_monitors
from pomelotrail_core.membership.monitor_table import MonitorTable
from pomelotrail_core.membership.suspicion_counter import SuspicionCounter
from pomelotrail_core.membership.suspicion_views import (
    RosterSuspicion,
    SuspicionViewBuilder,
)
from pomelotrail_core.spread.spread_pb2 import SuspicionReport

SECOND = timedelta(seconds=1)
# Maximum size of a view in a message to a child.
VIEW_BYTES = 1_000


def fleet(servers: int = 9) -> Configuration:
    """Return a configuration with six balancers in three zones."""
    names = ("veraval", "porbandar", "jafrabad")
    listed = tuple(
        backend_server(
            number % 250 + 1,
            name=f"server-{number}",
            zone=names[number % 3],
            packets=Endpoint("192.0.2.1", 10_000 + number),
        )
        for number in range(servers)
    )
    balancers = tuple(
        Balancer(
            f"balancer-{number}",
            names[number % 3],
            Endpoint("198.51.100.1", 7000 + number),
            Endpoint("198.51.100.1", 8000 + number),
        )
        for number in range(6)
    )
    return attrs.evolve(configuration(servers=listed), balancers=balancers)


class MonitorTableTest(unittest.TestCase):
    """A monitor suspects companions without heartbeats."""

    def setUp(self) -> None:
        """Record the first heartbeat of a companion."""
        self.clock = FakeClock()
        self.table = MonitorTable(self.clock)
        self.table.record_heartbeat("a")

    def run_for(self, duration: timedelta, sends_heartbeats: bool) -> int:
        """Advance the clock; return the number of suspicion changes."""
        changes = 0
        for _ in range(duration // SECOND):
            self.clock.jump(SECOND)
            if sends_heartbeats:
                self.table.record_heartbeat("a")
            changes += self.table.sweep()
        return changes

    def test_missing_heartbeats(self) -> None:
        """Missing heartbeats lead to suspicion, resumed heartbeats to trust."""
        self.run_for(HEARTBEAT_TIMEOUT - SECOND, sends_heartbeats=False)
        self.assertEqual(self.table.suspected, frozenset())
        self.run_for(2 * SECOND, sends_heartbeats=False)
        self.assertEqual(self.table.suspected, {"a"})
        self.run_for(timedelta(seconds=30), sends_heartbeats=True)
        self.assertEqual(self.table.suspected, frozenset())

    def test_one_lost_heartbeat_is_tolerated(self) -> None:
        """One lost heartbeat does not cause suspicion."""
        self.assertGreater(HEARTBEAT_TIMEOUT, 2 * HEARTBEAT_INTERVAL)

    def test_end_of_stream(self) -> None:
        """A companion is suspected before the heartbeat timeout if its stream ends."""
        self.table.record_disconnect("a")
        self.run_for(RECONNECT_TIMEOUT, sends_heartbeats=False)
        self.assertEqual(self.table.suspected, {"a"})

    def test_flapping_is_damped(self) -> None:
        """A companion that flaps for an hour causes few suspicion changes."""
        changes = 0
        for _ in range(120):
            changes += self.run_for(timedelta(seconds=20), sends_heartbeats=True)
            changes += self.run_for(timedelta(seconds=10), sends_heartbeats=False)
        self.assertLessEqual(changes, 2 * (timedelta(hours=1) // TRUST_AFTER_MAX))

    def test_own_pause(self) -> None:
        """A monitor that was paused does not suspect all companions on resuming."""
        self.clock.jump(timedelta(minutes=5))
        self.table.discount_own_pause(timedelta(minutes=5))
        self.table.sweep()
        self.assertEqual(self.table.suspected, frozenset())

    def test_unlisted_companion_is_removed(self) -> None:
        """A companion that is no longer in the configuration is removed."""
        self.table.keep_only(["b"])
        self.assertEqual(self.table.size, 0)


class MonitorChoiceTest(unittest.TestCase):
    """Heartbeats are sent to a few balancers in different zones."""

    @given(st.text(min_size=1, max_size=9))
    def test_different_zones(self, name: str) -> None:
        """With three zones the monitors are in all of them."""
        chosen = choose_monitors(name, fleet().balancers)
        self.assertEqual(
            len({balancer.zone for balancer in chosen}), MONITORS_PER_COMPANION
        )


class SuspicionCounterTest(unittest.TestCase):
    """Suspicion takes a majority of monitors, and a view is bounded."""

    def setUp(self) -> None:
        """Set up a large fleet."""
        self.clock = FakeClock()
        self.configuration = fleet(900)
        self.counter = SuspicionCounter(self.clock, lambda: self.configuration)
        self.view_builder = SuspicionViewBuilder(
            "reader", self.counter, lambda: True, self.clock
        )
        self.roster = Roster()
        self.roster.configure(self.configuration)
        self.suspicion = RosterSuspicion(self.roster, lambda: self.configuration)

    def report(self, monitor: int, names: list[str], sequence: int = 1) -> None:
        """Handle the report of a monitor."""
        self.view_builder.handle(
            SuspicionReport(
                monitor=f"balancer-{monitor}",
                incarnation=1,
                sequence=sequence,
                suspected=[process_id(name) for name in names],
            )
        )

    def candidates(self) -> int:
        """Return the number of candidates for new flows under the current view."""
        self.clock.jump(VIEW_INTERVAL_MIN)
        self.suspicion.apply_view(self.view_builder.view())
        return len(self.roster.candidates(1))

    def test_one_monitor_is_not_enough(self) -> None:
        """The suspicions of a single isolated monitor have no effect."""
        self.report(0, [f"server-{number}" for number in range(30)])
        self.assertEqual(self.candidates(), 900)

    def test_majority_demotes(self) -> None:
        """Two of three monitors demote a companion; one withdrawal restores it."""
        self.report(0, ["server-7"])
        self.report(1, ["server-7"])
        self.assertEqual(self.candidates(), 899)
        self.report(1, [], sequence=2)
        self.assertEqual(self.candidates(), 900)

    def test_stale_report_is_ignored(self) -> None:
        """A reordered older report does not restore suspicion."""
        self.report(0, ["server-7"], sequence=1)
        self.report(1, [], sequence=2)
        self.report(1, ["server-7"], sequence=1)
        self.assertEqual(self.candidates(), 900)

    def test_reports_expire(self) -> None:
        """Suspicions of monitors that stop reporting expire."""
        self.report(0, ["server-7"])
        self.report(1, ["server-7"])
        self.clock.jump(4 * REPORT_REFRESH_MIN)
        self.assertEqual(self.candidates(), 900)

    def test_all_companions_suspected(self) -> None:
        """When all are suspected, all accept flows, because suspicion only demotes."""
        names = [f"server-{number}" for number in range(900)]
        self.report(0, names)
        self.report(1, names)
        self.assertEqual(self.candidates(), 900)

    def test_zone_failure(self) -> None:
        """The failure of a whole zone is represented by one number."""
        names = [f"server-{number}" for number in range(0, 900, 3)]
        self.report(0, names)
        self.report(1, names)
        self.assertEqual(self.candidates(), 600)
        view = self.view_builder.view()
        self.assertEqual(len(view.zones), 1)
        self.assertLess(view.ByteSize(), VIEW_BYTES)

    @given(st.integers(0, 900), st.integers(1, 5))
    def test_view_size_is_bounded(self, count: int, step: int) -> None:
        """A view stays within its size limit for any set of failures."""
        self.setUp()
        names = [f"server-{number}" for number in range(0, count, step)]
        self.report(0, names)
        self.report(2, names)
        self.clock.jump(VIEW_INTERVAL_MIN)
        view = self.view_builder.view()
        self.assertLess(view.ByteSize(), VIEW_BYTES)
        self.assertLessEqual(len(view.suspected), MAX_SUSPECTED)

    def test_view_update_rate_is_limited(self) -> None:
        """Reports between two views take effect in the next view."""
        self.report(0, ["server-7"])
        self.report(1, ["server-7"])
        first = self.view_builder.view().sequence
        self.report(0, ["server-7", "server-8"], sequence=2)
        self.report(1, ["server-7", "server-8"], sequence=2)
        self.assertEqual(self.view_builder.view().sequence, first)

"""Tests of suspicion: monitors, reports, views and the roster."""

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
from pomelotrail_core.membership.board import ReaderBoard, RosterSuspicion
from pomelotrail_core.membership.const import (
    HEARTBEAT,
    MAX_SUSPECTED,
    MONITORS,
    RECONNECT_WITHIN,
    REPORT_REFRESH_MIN,
    SUSPECT_AFTER,
    TRUST_AFTER_MAX,
    VIEW_PAUSE,
)
from pomelotrail_core.membership.identity import process_id
from pomelotrail_core.membership.monitor_choice import choose_monitors
from pomelotrail_core.membership.monitor_table import MonitorTable
from pomelotrail_core.membership.tally import Tally
from pomelotrail_core.spread.spread_pb2 import SuspicionReport

SECOND = timedelta(seconds=1)
# What a view may cost in one message to a child.
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
    """A monitor suspects what is silent."""

    def setUp(self) -> None:
        """Hear one companion."""
        self.clock = FakeClock()
        self.table = MonitorTable(self.clock)
        self.table.hear("a")

    def run_for(self, time: timedelta, beating: bool) -> int:
        """Let time pass; return how often the monitor changed its mind."""
        changes = 0
        for _ in range(time // SECOND):
            self.clock.jump(SECOND)
            if beating:
                self.table.hear("a")
            changes += self.table.sweep()
        return changes

    def test_silence(self) -> None:
        """Silence leads to suspicion, heartbeats to trust."""
        self.run_for(SUSPECT_AFTER - SECOND, beating=False)
        self.assertEqual(self.table.suspected, frozenset())
        self.run_for(2 * SECOND, beating=False)
        self.assertEqual(self.table.suspected, {"a"})
        self.run_for(timedelta(seconds=30), beating=True)
        self.assertEqual(self.table.suspected, frozenset())

    def test_lost_heartbeats_are_forgiven(self) -> None:
        """One lost heartbeat is no reason."""
        self.assertGreater(SUSPECT_AFTER, 2 * HEARTBEAT)

    def test_end_of_the_stream(self) -> None:
        """A companion that has died is suspected sooner than a silent one."""
        self.table.lose("a")
        self.run_for(RECONNECT_WITHIN, beating=False)
        self.assertEqual(self.table.suspected, {"a"})

    def test_flapping_changes_little(self) -> None:
        """A companion that comes and goes for an hour changes few minds."""
        changes = 0
        for _ in range(120):
            changes += self.run_for(timedelta(seconds=20), beating=True)
            changes += self.run_for(timedelta(seconds=10), beating=False)
        self.assertLessEqual(changes, 2 * (timedelta(hours=1) // TRUST_AFTER_MAX))

    def test_own_pause(self) -> None:
        """A monitor that slept does not suspect everybody on waking."""
        self.clock.jump(timedelta(minutes=5))
        self.table.forgive_own_pause(timedelta(minutes=5))
        self.table.sweep()
        self.assertEqual(self.table.suspected, frozenset())

    def test_unlisted_companion_is_forgotten(self) -> None:
        """What the configuration does not name any more is not kept."""
        self.table.keep_only(["b"])
        self.assertEqual(self.table.size, 0)


class MonitorChoiceTest(unittest.TestCase):
    """Heartbeats go to a few balancers in different zones."""

    @given(st.text(min_size=1, max_size=9))
    def test_different_zones(self, name: str) -> None:
        """With three zones the monitors are in all of them."""
        chosen = choose_monitors(name, fleet().balancers)
        self.assertEqual(len({balancer.zone for balancer in chosen}), MONITORS)


class TallyTest(unittest.TestCase):
    """Most monitors have to agree, and a view stays small."""

    def setUp(self) -> None:
        """Count for a large fleet."""
        self.clock = FakeClock()
        self.configuration = fleet(900)
        self.tally = Tally(self.clock, lambda: self.configuration)
        self.board = ReaderBoard("reader", self.tally, lambda: True, self.clock)
        self.roster = Roster()
        self.roster.configure(self.configuration)
        self.suspicion = RosterSuspicion(self.roster, lambda: self.configuration)

    def report(self, monitor: int, names: list[str], sequence: int = 1) -> None:
        """Take the report of a monitor."""
        self.board.handle(
            SuspicionReport(
                monitor=f"balancer-{monitor}",
                incarnation=1,
                sequence=sequence,
                suspected=[process_id(name) for name in names],
            )
        )

    def candidates(self) -> int:
        """Return how many companions may take new flows by the view."""
        self.clock.jump(VIEW_PAUSE)
        self.suspicion.take(self.board.view())
        return len(self.roster.candidates(1))

    def test_one_monitor_is_not_enough(self) -> None:
        """A single monitor that is cut off suspects in vain."""
        self.report(0, [f"server-{number}" for number in range(30)])
        self.assertEqual(self.candidates(), 900)

    def test_most_monitors_demote(self) -> None:
        """Two of three demote, and their trust promotes again."""
        self.report(0, ["server-7"])
        self.report(1, ["server-7"])
        self.assertEqual(self.candidates(), 899)
        self.report(1, [], sequence=2)
        self.assertEqual(self.candidates(), 900)

    def test_late_report_is_not_taken(self) -> None:
        """An older report that comes late does not bring suspicion back."""
        self.report(0, ["server-7"], sequence=1)
        self.report(1, [], sequence=2)
        self.report(1, ["server-7"], sequence=1)
        self.assertEqual(self.candidates(), 900)

    def test_reports_expire(self) -> None:
        """Monitors that fall silent take their suspicion with them."""
        self.report(0, ["server-7"])
        self.report(1, ["server-7"])
        self.clock.jump(4 * REPORT_REFRESH_MIN)
        self.assertEqual(self.candidates(), 900)

    def test_everybody_suspected(self) -> None:
        """When all are suspected, all may take flows: suspicion only demotes."""
        names = [f"server-{number}" for number in range(900)]
        self.report(0, names)
        self.report(1, names)
        self.assertEqual(self.candidates(), 900)

    def test_zone_that_fails_at_once(self) -> None:
        """The companions of a whole zone cost one number."""
        names = [f"server-{number}" for number in range(0, 900, 3)]
        self.report(0, names)
        self.report(1, names)
        self.assertEqual(self.candidates(), 600)
        view = self.board.view()
        self.assertEqual(len(view.zones), 1)
        self.assertLess(view.ByteSize(), VIEW_BYTES)

    @given(st.integers(0, 900), st.integers(1, 5))
    def test_any_failure_is_bounded(self, count: int, step: int) -> None:
        """Whatever fails, a view stays within its bytes."""
        self.setUp()
        names = [f"server-{number}" for number in range(0, count, step)]
        self.report(0, names)
        self.report(2, names)
        self.clock.jump(VIEW_PAUSE)
        view = self.board.view()
        self.assertLess(view.ByteSize(), VIEW_BYTES)
        self.assertLessEqual(len(view.suspected), MAX_SUSPECTED)

    def test_view_changes_seldom(self) -> None:
        """Reports in between wait until the next view."""
        self.report(0, ["server-7"])
        self.report(1, ["server-7"])
        first = self.board.view().sequence
        self.report(0, ["server-7", "server-8"], sequence=2)
        self.report(1, ["server-7", "server-8"], sequence=2)
        self.assertEqual(self.board.view().sequence, first)

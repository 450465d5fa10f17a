"""Tests of the known state of the directory."""

import json
import unittest
from datetime import timedelta
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from harness.fake_clock import FakeClock
from harness.flow_fleet import MemoryLogWriter
from pomelotrail_core.counters import Counters
from pomelotrail_core.directory import (
    Directory,
    RemovedItem,
    Revision,
    ServerState,
    UnusableItem,
    ZoneItem,
)
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog

from .builders import ENTRY_LIFETIME, MAX_FLOW_DURATION, configuration, entry, listing


class DirectoryTest(unittest.TestCase):
    """The known state and the changes to it."""

    def setUp(self) -> None:
        """Make a directory without servers."""
        self.clock = FakeClock()
        self.lines = MemoryLogWriter()
        self.log = EventLog("test", self.clock, self.lines)
        self.counters = Counters()
        self.directory = Directory(
            self.clock, self.log, self.counters, ENTRY_LIFETIME, MAX_FLOW_DURATION
        )
        self.directory.apply(listing(configuration(1), revision=0))

    def identities(self) -> list[str]:
        """Return the identities of the candidates of the service."""
        return [each.identity for each in self.directory.candidates("ledger")]

    def possible_owners(self) -> list[str]:
        """Return the identities of the possible owners of flows of the service."""
        owners = self.directory.possible_owners()
        return [each.identity for each in owners if each.service == "ledger"]

    def test_version_never_goes_back(self) -> None:
        """A lower version is ignored, in a listing and in a change."""
        self.directory.replace(listing(configuration(5)))
        self.directory.replace(listing(configuration(4)))
        self.directory.apply(listing(configuration(3)))
        self.assertEqual(self.directory.version, 5)

    @given(st.lists(st.integers(1, 20)))
    def test_version_is_the_highest_seen(self, versions: list[int]) -> None:
        """The version in force is the highest one, independent of their order."""
        directory = Directory(
            self.clock, self.log, self.counters, ENTRY_LIFETIME, MAX_FLOW_DURATION
        )
        highest = 0
        for version in versions:
            directory.apply(listing(configuration(version)))
            self.assertGreaterEqual(directory.version, highest)
            highest = directory.version
        self.assertEqual(highest, max(versions, default=0))

    def test_changes_that_fail_halfway(self) -> None:
        """Guards against resets of flows whose servers were never recorded.

        A directory that claims a revision counts as complete up to it.
        """
        known = self.directory.revision
        changes = listing(entry(), revision=7)
        failing = mock.patch.object(
            self.directory._servers, "record", side_effect=MemoryError
        )
        with failing, self.assertRaises(MemoryError):
            self.directory.apply(changes)
        self.assertEqual(self.directory.revision, known)
        self.directory.replace(changes)
        self.assertEqual(self.directory.revision, changes.revision)
        self.assertEqual(self.identities(), ["server-1"])

    def test_leaving_server(self) -> None:
        """A leaving server gets no new flows and keeps its open ones."""
        self.directory.apply(listing(entry()))
        self.directory.apply(listing(entry(state=ServerState.LEAVING, revision=2)))
        self.assertEqual(
            (self.identities(), self.possible_owners()), ([], ["server-1"])
        )

    def test_zone_out_and_back(self) -> None:
        """Servers of an out-of-service zone get no new flows until it is back."""
        self.directory.apply(listing(entry(), ZoneItem("zone-1")))
        self.assertEqual(
            (self.identities(), self.possible_owners()), ([], ["server-1"])
        )
        self.directory.apply(listing(RemovedItem(zone="zone-1")))
        self.assertEqual(self.identities(), ["server-1"])

    def test_zone_back_by_a_listing(self) -> None:
        """A zone whose entry is not in a listing is back in service."""
        self.directory.replace(listing(entry(), ZoneItem("zone-1")))
        self.directory.replace(listing(entry()))
        self.assertEqual(self.directory.zones_out, frozenset())

    def test_removed_server_is_dropped_at_once(self) -> None:
        """While the store is reachable, a missing entry removes its server."""
        self.directory.apply(listing(entry()))
        self.directory.apply(listing(RemovedItem(identity="server-1")))
        self.assertEqual(
            (self.identities(), self.possible_owners()), ([], ["server-1"])
        )
        self.clock.jump(timedelta(seconds=61))
        self.assertEqual(self.possible_owners(), [])

    def test_missing_entry_is_kept_until_after_the_outage(self) -> None:
        """An entry missing after an outage has a grace period of 2 s."""
        other = Endpoint("192.0.2.2", 8080)
        second = entry(identity="server-2", endpoint=other, revision=2)
        self.directory.apply(listing(entry(), second))
        self.directory.record_source_failure("silent")
        self.directory.apply(listing(RemovedItem(identity="server-1")))
        self.directory.record_source_reached(Revision(number=10))
        self.directory.replace(listing())
        self.clock.jump(timedelta(seconds=1.9))
        self.assertEqual(len(self.identities()), 2)
        self.directory.apply(listing(entry(revision=12)))
        self.clock.jump(timedelta(seconds=0.2))
        self.assertEqual(self.identities(), ["server-1"])

    def list_servers(self, count: int) -> None:
        """Apply a listing of ready servers."""
        entries = [
            entry(
                identity=f"server-{index}",
                endpoint=Endpoint(f"192.0.2.{index + 1}", 8080),
                revision=index + 1,
            )
            for index in range(count)
        ]
        self.directory.replace(listing(*entries))

    def remove(self, count: int) -> None:
        """Remove the first entries in one response of the store."""
        removed = [RemovedItem(identity=f"server-{index}") for index in range(count)]
        self.directory.apply(listing(*removed, revision=20))

    def test_entries_missing_after_an_undetected_outage(self) -> None:
        """Many entries that go missing at once have a grace period of 2 s."""
        self.list_servers(9)
        self.remove(8)
        self.assertEqual(len(self.identities()), 9)
        self.clock.jump(timedelta(seconds=1.9))
        self.directory.apply(listing(entry(identity="server-0", revision=30)))
        self.clock.jump(timedelta(seconds=0.2))
        self.assertEqual(sorted(self.identities()), ["server-0", "server-8"])

    def test_list_that_lacks_most_entries(self) -> None:
        """The grace period also applies to a listing after a lost history."""
        self.list_servers(9)
        self.directory.replace(listing())
        self.assertEqual(len(self.identities()), 9)
        self.clock.jump(timedelta(seconds=2.1))
        self.assertEqual(self.identities(), [])

    def test_servers_that_crash_together(self) -> None:
        """A crashed zone of three, or two servers of three, are removed at once."""
        for count, crashed in ((9, 3), (3, 2)):
            with self.subTest(count):
                self.setUp()
                self.list_servers(count)
                self.remove(crashed)
                self.assertEqual(len(self.identities()), count - crashed)

    def test_leaving_server_has_no_grace_period(self) -> None:
        """A missing entry that was marked as leaving is removed at once."""
        leaving = entry(state=ServerState.LEAVING)
        self.directory.apply(listing(leaving))
        self.directory.record_source_failure("silent")
        self.directory.apply(listing(RemovedItem(identity="server-1")))
        self.directory.record_source_reached(Revision(number=10))
        self.assertEqual(self.identities(), [])

    def test_reused_address(self) -> None:
        """A server replaces another one with the same address."""
        self.directory.apply(listing(entry()))
        other = entry(identity="server-2", service="desk", revision=2)
        self.directory.apply(listing(other))
        self.assertEqual((self.identities(), self.possible_owners()), ([], []))

    def test_reused_address_of_a_former_server(self) -> None:
        """A former server is no possible owner once its address is reused."""
        self.directory.apply(listing(entry(), RemovedItem(identity="server-1")))
        other = entry(identity="server-2", service="desk", revision=2)
        self.directory.apply(listing(other))
        self.assertEqual(self.possible_owners(), [])

    def test_late_write_of_a_crashed_server(self) -> None:
        """Guards against a server that is lost for good to an entry which expires."""
        self.directory.apply(listing(entry()))
        crashed = entry(identity="server-0", service="desk", revision=2)
        self.directory.apply(listing(crashed))
        self.assertEqual(self.identities(), [])
        self.directory.apply(listing(RemovedItem(identity="server-0")))
        self.assertEqual(
            (self.identities(), self.possible_owners()), (["server-1"], ["server-1"])
        )

    def test_crashed_server_whose_successor_leaves(self) -> None:
        """It doesn't return once its own entry has expired."""
        self.directory.apply(listing(entry()))
        successor = entry(identity="server-2", service="desk", revision=2)
        self.directory.apply(listing(successor))
        self.directory.apply(listing(RemovedItem(identity="server-1")))
        self.directory.apply(listing(RemovedItem(identity="server-2")))
        self.assertEqual(self.identities(), [])

    def test_listing_with_an_entry_from_before_a_crash(self) -> None:
        """The later entry of an address applies, independent of their order."""
        before = entry(identity="server-1", revision=5)
        after = entry(identity="server-0", revision=7)
        self.directory.replace(listing(after, before))
        self.assertEqual(self.identities(), ["server-0"])
        self.directory.apply(listing(RemovedItem(identity="server-1")))
        self.assertEqual(self.identities(), ["server-0"])

    def test_unusable_entry(self) -> None:
        """An unusable entry removes its server and no other."""
        other = entry(identity="server-2", endpoint=Endpoint("192.0.2.2", 80))
        self.directory.apply(listing(entry(), other))
        item = UnusableItem("servers/server-1", "no address", "server-1")
        self.directory.apply(listing(item))
        self.assertEqual(self.identities(), ["server-2"])

    def test_cold_server(self) -> None:
        """A server is cold for the time in its entry after that was read."""
        cold = entry(cold_for=timedelta(seconds=2))
        self.directory.apply(listing(configuration(2, 8.0), cold))
        (server,) = self.directory.candidates("ledger")
        self.assertEqual(self.directory.cold_flows_per_s(server), 8.0)
        self.clock.jump(timedelta(seconds=2))
        self.assertIsNone(self.directory.cold_flows_per_s(server))

    def test_changes_are_logged_with_their_version(self) -> None:
        """Each change writes one log line."""
        self.directory.apply(listing(configuration(5), entry()))
        self.log.flush()
        self.assertIn(b'"event":"configuration_in_force"', self.lines.content)
        self.assertIn(b'"event":"server_seen"', self.lines.content)
        self.assertEqual(self.lines.content.count(b'"version":5'), 2)

    def test_lines_tell_the_era(self) -> None:
        """A listing, an outage's end and each change have the era of their revision."""
        self.directory.replace(listing(configuration(5), era=1))
        self.directory.record_source_failure("cut")
        self.directory.record_source_reached(Revision(2, 8))
        self.directory.replace(listing(configuration(4), revision=8, era=2))
        self.log.flush()
        lines = [json.loads(line) for line in self.lines.content.splitlines()]
        (back,) = [line for line in lines if line["event"] == "source_back"]
        self.assertEqual((back["era"], back["source_era"]), (1, 2))
        (ignored,) = [
            line for line in lines if line["event"] == "configuration_ignored"
        ]
        self.assertEqual((ignored["ignored"], ignored["era"]), (4, 2))
        listed = [line for line in lines if line["event"] == "listed"]
        eras = [(line["era"], line["listed_era"]) for line in listed]
        self.assertEqual(eras, [(0, 1), (1, 2)])
        self.assertEqual(self.counters.value("store_restores"), 1)

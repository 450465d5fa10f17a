"""Entries of services that no version of the configuration names."""

import unittest

from harness.fake_clock import FakeClock
from harness.flow_fleet import MemoryLogWriter
from pomelotrail_core.counters import Counters
from pomelotrail_core.directory import (
    Directory,
    DirectoryItem,
    RemovedItem,
    ServerState,
    UnusableItem,
)
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog

from .builders import ENTRY_LIFETIME, MAX_FLOW_DURATION, configuration, entry, listing


def foreign_entry(**changes: object) -> DirectoryItem:
    """Return an entry of another writer for the address of the server."""
    changes = {
        "identity": "inventory-0",
        "service": "inventory",
        "revision": 9,
    } | changes
    return entry(**changes)


class UnnamedServiceTest(unittest.TestCase):
    """They name no server to use, and the others hold."""

    def setUp(self) -> None:
        """Make an empty directory."""
        self.clock = FakeClock()
        self.lines = MemoryLogWriter()
        self.log = EventLog("test", self.clock, self.lines)
        self.directory = Directory(
            self.clock, self.log, Counters(), ENTRY_LIFETIME, MAX_FLOW_DURATION
        )

    def names(self, service: str = "ledger") -> tuple[list[str], list[str]]:
        """Return the candidates of a service and all possible owners."""
        return (
            [each.identity for each in self.directory.candidates(service)],
            [each.identity for each in self.directory.possible_owners()],
        )

    def test_address_of_a_server(self) -> None:
        """Guards against entries of another writer that take servers away."""
        self.directory.replace(listing(configuration(1), entry()))
        self.directory.apply(listing(foreign_entry(), revision=11))
        self.assertEqual(self.names(), (["server-1"], ["server-1"]))
        self.directory.apply(listing(RemovedItem(identity="inventory-0")))
        self.assertEqual(self.names(), (["server-1"], ["server-1"]))
        self.log.flush()
        self.assertIn(b'"event":"service_not_named"', self.lines.content)

    def test_listing_without_an_order(self) -> None:
        """It is the same whichever entry is listed first."""
        items = (foreign_entry(), entry(), configuration(1))
        for listed in (items, items[::-1]):
            with self.subTest(listed=listed):
                self.setUp()
                self.directory.replace(listing(*listed))
                self.assertEqual(self.names(), (["server-1"], ["server-1"]))

    def test_entry_before_the_first_version(self) -> None:
        """Servers that registered before are used as soon as a version names them."""
        self.directory.replace(listing(foreign_entry(), entry()))
        self.assertEqual(self.directory.candidates("ledger"), [])
        self.directory.apply(listing(configuration(1)))
        self.assertEqual(self.names(), (["server-1"], ["server-1"]))

    def test_service_that_a_later_version_names(self) -> None:
        """Its servers registered before that version was published."""
        self.directory.replace(listing(configuration(1), entry(service="archive")))
        self.assertEqual(self.directory.candidates("archive"), [])
        named = configuration(2, services=("ledger", "archive"))
        self.directory.apply(listing(named))
        self.assertEqual(self.names("archive"), (["server-1"], ["server-1"]))

    def test_entry_that_was_overwritten(self) -> None:
        """Its server gets no new flow, and may own flows."""
        self.directory.replace(listing(configuration(1), entry()))
        self.directory.apply(listing(foreign_entry(identity="server-1")))
        self.assertEqual(self.names(), ([], ["server-1"]))
        self.directory.apply(listing(entry(revision=12)))
        self.assertEqual(self.names(), (["server-1"], ["server-1"]))

    def test_entries_that_are_gone(self) -> None:
        """A version that names their service later doesn't bring them back."""
        for gone in (
            RemovedItem(identity="server-1"),
            UnusableItem("servers/server-1", "no address", "server-1"),
        ):
            with self.subTest(gone=gone):
                self.setUp()
                unnamed = entry(service="archive")
                self.directory.replace(listing(configuration(1), unnamed))
                self.directory.apply(listing(gone))
                self.directory.apply(listing(configuration(2, services=("archive",))))
                self.assertEqual(self.names("archive"), ([], []))
        self.setUp()
        self.directory.replace(listing(configuration(1), entry(service="archive")))
        self.directory.replace(listing(configuration(1)))
        self.directory.apply(listing(configuration(2, services=("archive",))))
        self.assertEqual(self.names("archive"), ([], []))

    def test_service_that_is_named_no_more(self) -> None:
        """Its servers may own flows, also for a process that starts later."""
        self.directory.replace(listing(configuration(1), entry()))
        later = configuration(2, services=("desk",))
        leaving = entry(revision=12, state=ServerState.LEAVING)
        self.directory.apply(listing(later, leaving))
        self.assertEqual(self.names()[1], ["server-1"])
        self.setUp()
        self.directory.replace(listing(later, leaving))
        self.assertEqual(self.names(), ([], ["server-1"]))
        self.clock.jump(MAX_FLOW_DURATION)
        self.assertEqual(self.names(), ([], []))

    def test_address_without_a_server(self) -> None:
        """After the longest duration of flows, nobody is asked there."""
        away = foreign_entry(endpoint=Endpoint("192.0.2.99", 80))
        self.directory.replace(listing(configuration(1), entry(), away))
        self.clock.jump(MAX_FLOW_DURATION)
        self.assertEqual(self.names(), (["server-1"], ["server-1"]))

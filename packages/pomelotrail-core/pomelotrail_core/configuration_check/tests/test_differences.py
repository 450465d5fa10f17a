"""Tests of the differences between two configurations."""

import unittest
from datetime import timedelta

import attrs
from hypothesis import given

from pomelotrail_core.configuration import Configuration
from pomelotrail_core.configuration_check import (
    Change,
    Difference,
    find_differences,
)
from pomelotrail_core.configuration_check.configuration_entries import (
    configuration_entries,
)

from .builders import (
    configurations,
    make_class,
    make_configuration,
    make_server,
    make_service,
)

_LEDGER = "services[stock-ledger]"


class DifferencesTest(unittest.TestCase):
    """Differences name entries and fields, and nothing that is the same."""

    def test_changed_field(self) -> None:
        """A changed field has its value before and after, as documents write it."""
        changed = make_class(within=timedelta(seconds=2), share=0.9)
        new = make_configuration(make_service((changed,)))
        (difference,) = _compare(make_configuration(), new)
        self.assertEqual(difference.entry, f"{_LEDGER}.classes[read]")
        self.assertEqual(
            str(difference),
            f"changed {_LEDGER}.classes[read]: target.within from 300 ms to 2 s, "
            "target.share from 0.99 to 0.9",
        )

    def test_added_and_removed_entries(self) -> None:
        """An added entry has its fields; in the other direction it is removed."""
        old = make_configuration(make_service(servers=(make_server(),)))
        (added,) = _compare(old, make_configuration())
        (removed,) = _compare(make_configuration(), old)
        self.assertEqual((added.change, removed.change), (Change.ADDED, Change.REMOVED))
        self.assertEqual(added.entry, f"{_LEDGER}.backend_servers[ledger-2]")
        self.assertEqual(added.after, removed.before)
        self.assertEqual(added.after["zone"], "porbandar")
        self.assertIn("out false", str(added))

    def test_small_change_of_a_long_duration(self) -> None:
        """Durations that differ by a microsecond are written differently."""
        deadline = timedelta(days=300)
        old, new = (
            make_configuration(make_service((make_class(deadline=each),)))
            for each in (deadline, deadline + timedelta(microseconds=1))
        )
        self.assertEqual(len(_compare(old, new)), 1)

    def test_classes_of_one_name(self) -> None:
        """The second class of a name is an entry of its own."""
        classes = (make_class(), make_class(path="/b"))
        new = make_configuration(make_service(classes))
        (difference,) = _compare(make_configuration(), new)
        self.assertEqual(difference.entry, f"{_LEDGER}.classes[read]#2")

    @given(configurations(), configurations())
    def test_any_change_is_shown(self, old: Configuration, new: Configuration) -> None:
        """Configurations without differences are equal but for order and version."""
        later = attrs.evolve(old, version=old.version + 1)
        self.assertEqual(_compare(old, later), ())
        is_same = _unordered(old) == _unordered(new)
        self.assertEqual(_compare(old, new) == (), is_same)


def _compare(old: Configuration, new: Configuration) -> tuple[Difference, ...]:
    """Return the differences of two configurations."""
    return find_differences(configuration_entries(old), configuration_entries(new))


def _unordered(configuration: Configuration) -> list[object]:
    """Return what a configuration holds, without the order of servers."""
    (service,) = configuration.services
    return [service.classes, set(service.backend_servers)]

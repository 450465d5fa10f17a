"""Tests of what is in force."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from harness.builders import document
from harness.fake_clock import FakeClock
from pomelotrail_core.configuration import ConfigurationCoordinator
from pomelotrail_core.configuration.source import Document
from pomelotrail_core.timeline import Recorder


def _coordinator() -> ConfigurationCoordinator:
    """Return a coordinator with nothing in force."""
    clock = FakeClock()
    return ConfigurationCoordinator(Recorder("p", "z", clock))


class CoordinatorTest(unittest.TestCase):
    """What is in force never reverts."""

    @given(st.lists(st.integers(1, 50), max_size=30))
    def test_version_never_reverts(self, versions: list[int]) -> None:
        """Whatever order versions come in, the highest so far is in force."""
        coordinator = _coordinator()
        highest = 0
        for version in versions:
            coordinator.offer(Document(version, document(version)), "test")
            highest = max(highest, version)
            self.assertEqual(coordinator.version, highest)

    def test_broken_document_keeps_the_one_in_force(self) -> None:
        """A document that is refused changes nothing."""
        coordinator = _coordinator()
        coordinator.offer(Document(1, document(1)), "test")
        self.assertFalse(coordinator.offer(Document(2, "version: 2"), "test"))
        self.assertEqual(coordinator.version, 1)

    def test_label_above_the_documents_own_version(self) -> None:
        """A source that labels an old document as new does not revert it."""
        coordinator = _coordinator()
        coordinator.offer(Document(5, document(5)), "test")
        self.assertFalse(coordinator.offer(Document(6, document(4)), "test"))
        self.assertEqual(coordinator.version, 5)

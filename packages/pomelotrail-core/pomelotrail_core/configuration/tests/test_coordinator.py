"""Tests of the configuration in force."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from harness.builders import document
from harness.captured_logs import captured_logs
from harness.fake_clock import FakeClock
from pomelotrail_core.configuration import Configuration, ConfigurationCoordinator
from pomelotrail_core.configuration.source import Document
from pomelotrail_core.timeline import Recorder


def _coordinator() -> ConfigurationCoordinator:
    """Return a coordinator without a configuration."""
    clock = FakeClock()
    return ConfigurationCoordinator(Recorder("p", "z", clock))


class CoordinatorTest(unittest.TestCase):
    """The configuration in force never reverts."""

    @given(st.lists(st.integers(1, 50), max_size=30))
    def test_version_never_reverts(self, versions: list[int]) -> None:
        """The highest version received is in force, whatever the order."""
        coordinator = _coordinator()
        highest = 0
        for version in versions:
            coordinator.adopt_if_newer(Document(version, document(version)), "test")
            highest = max(highest, version)
            self.assertEqual(coordinator.version, highest)

    def test_invalid_document_keeps_the_one_in_force(self) -> None:
        """A refused document doesn't change the version in force."""
        coordinator = _coordinator()
        coordinator.adopt_if_newer(Document(1, document(1)), "test")
        self.assertFalse(coordinator.adopt_if_newer(Document(2, "version: 2"), "test"))
        self.assertEqual(coordinator.version, 1)

    def test_version_label_above_the_documents_own_version(self) -> None:
        """An old document labelled as new does not revert the configuration."""
        coordinator = _coordinator()
        coordinator.adopt_if_newer(Document(5, document(5)), "test")
        self.assertFalse(coordinator.adopt_if_newer(Document(6, document(4)), "test"))
        self.assertEqual(coordinator.version, 5)

    def test_failing_listener(self) -> None:
        """Guards against parts without a version because another part failed on it."""
        coordinator = _coordinator()
        seen: list[int] = []

        def fail(_: Configuration) -> None:
            """Fail as a part with an error does."""
            raise ValueError("a part failed")

        coordinator.add_listener(fail)
        coordinator.add_listener(lambda current: seen.append(current.version))
        with captured_logs(self) as lines:
            coordinator.adopt_if_newer(Document(3, document(3)), "test")
        self.assertEqual(seen, [3])
        self.assertIn("a part failed", lines[0])

"""Tests of learning of higher versions from traffic."""

import unittest

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing.version_watch import VersionWatch

_PEER = ("192.0.2.7", 7000)


class VersionWatchTest(unittest.TestCase):
    """Each higher version is told once."""

    def test_only_higher_versions_are_told_and_once(self) -> None:
        """Packets of one version cost one call."""
        told: list[tuple[int, Endpoint]] = []
        watch = VersionWatch(lambda: 5, lambda *seen: told.append(seen))
        for version in (4, 5, 7, 7, 6, 8):
            watch.see(version, _PEER)
        self.assertEqual([version for version, _ in told], [7, 8])
        self.assertEqual(told[0][1], Endpoint(*_PEER))

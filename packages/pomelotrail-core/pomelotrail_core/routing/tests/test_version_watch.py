"""Tests of detecting newer versions from traffic."""

import unittest

from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing.version_watch import VersionWatch

_PEER = ("192.0.2.7", 7000)


class VersionWatchTest(unittest.TestCase):
    """Each newer version is reported once."""

    def test_each_newer_version_is_reported_once(self) -> None:
        """Repeated and older versions don't call the listener again."""
        reported: list[tuple[int, Endpoint]] = []
        watch = VersionWatch(lambda: 5, lambda *seen: reported.append(seen))
        for version in (4, 5, 7, 7, 6, 8):
            watch.observe(version, _PEER)
        self.assertEqual([version for version, _ in reported], [7, 8])
        self.assertEqual(reported[0][1], Endpoint(*_PEER))

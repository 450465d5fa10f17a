"""Names of the hosting platform appear in its adapter only."""

import re
import unittest

from harness.process import ROOT

_PLATFORM_NAMES = re.compile(
    "|".join(
        (
            *(
                "warmup_left_ms",
                "warmup_per_s",
                "datagram_addr",
                "kv-range",
                "kv-watch",
            ),
            *("POMELOTRAIL_NODE_FILE", "op/evacuate", "op/config", "node_name"),
            *("internal_ports", "target_latency_ms", "tombstone", "has_more", "at_rev"),
            *("kv-watch", "BOUNCED", "seed_staleness", "flow_hash", "discovery_source"),
        )
    )
)


class PlatformNamesTest(unittest.TestCase):
    """The packages are independent of the platform and its names."""

    def test_only_the_adapter_names_the_platform(self) -> None:
        """No module of the packages or measurements contains a name of the platform."""
        found = {
            f"{path.relative_to(ROOT)}: {match.group()}"
            for folder in ("packages", "measurements")
            for path in (ROOT / folder).rglob("*.py")
            for match in _PLATFORM_NAMES.finditer(path.read_text())
        }
        self.assertEqual(found, set())

    def test_adapter_does_not_shadow_the_standard_library(self) -> None:
        """The folder ``platform`` has no ``__init__.py``."""
        self.assertFalse((ROOT / "platform" / "__init__.py").exists())

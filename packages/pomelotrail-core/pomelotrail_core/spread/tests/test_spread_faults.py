"""Tests with faults in any order, over a fake network in virtual time."""

import asyncio
import unittest
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from pomelotrail_core.spread.const import (
    MAX_CHILDREN,
    STALE_AFTER,
)

from .fakes import CONNECTION_BYTES, FakeFleet
from .scenarios import (
    CONTROL_BYTES_PER_S,
    FEW_SERVERS,
    IN_FORCE_SECONDS,
    RECOVERY_SECONDS,
    ZONES,
    run_fleet,
)

_FAULTS: Final = st.sampled_from(
    [
        "publish",
        "cut zone",
        "cut all",
        "heal",
        "crash",
        "restart",
        "service down",
        "service up",
        "service stale",
        "wait",
    ]
)


class FaultsTest(unittest.TestCase):
    """No sequence of faults makes a version revert or prevents convergence."""

    @settings(max_examples=8)
    @given(st.lists(st.tuples(_FAULTS, st.integers(0, 1000)), max_size=12))
    def test_any_order_of_faults(self, faults: list[tuple[str, int]]) -> None:
        """After the last fault has ended, every peer has the published document."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            start = asyncio.get_running_loop().time()
            for peer in fleet.peers.values():
                peer.sent_bytes = peer.received_bytes = 0
            for fault, number in faults:
                _inject(fleet, fault, number)
                await asyncio.sleep(number / 100)
            fleet.restore_links()
            fleet.service.is_down = False
            version = fleet.publish()
            await fleet.async_wait_for(version, RECOVERY_SECONDS)
            await asyncio.sleep(STALE_AFTER.total_seconds())
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
            self.assertEqual(fleet.reverts(), 0)
            texts = {p.coordinator.document.text for p in fleet.healthy}
            self.assertEqual(texts, {fleet.service.published[-1].text})
            seconds = asyncio.get_running_loop().time() - start
            busiest = max(p.sent_bytes + p.received_bytes for p in fleet.healthy)
            # Each fault may make every child of a peer reconnect.
            reconnects = len(faults) * MAX_CHILDREN * CONNECTION_BYTES
            budget = CONTROL_BYTES_PER_S * seconds + reconnects
            self.assertLessEqual(busiest, budget)

        run_fleet(_async_scenario, FEW_SERVERS * 2)


def _inject(fleet: FakeFleet, fault: str, number: int) -> None:
    """Inject one fault."""
    zone = fleet.zones[number % ZONES]
    peer = list(fleet.peers.values())[number % len(fleet.peers)]
    match fault:
        case "publish":
            fleet.publish()
        case "cut zone":
            fleet.cut_links(lambda one, other: (one == zone) != (other == zone))
        case "cut all":
            fleet.cut_links(lambda one, other: True)
        case "heal":
            fleet.restore_links()
        case "crash":
            fleet.crash(peer)
        case "restart":
            fleet.start()
        case "service down" | "service up":
            fleet.service.is_down = fault == "service down"
        case "service stale":
            published = fleet.service.published
            fleet.service.serve(published[number % len(published)])

"""Tests for configuration distribution over a fake network in virtual time."""

import asyncio
import unittest

from pomelotrail_core.configuration.source import Document
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.spread.const import (
    KEEPALIVE_INTERVAL,
    PARENT_TIMEOUT,
    RETRY_MAX,
    VIEW_EXPIRY,
)
from pomelotrail_core.spread.spread_pb2 import SuspicionView

from .fakes import FakeFleet
from .scenarios import (
    CONTROL_BYTES_PER_S,
    FEW_SERVERS,
    IN_FORCE_SECONDS,
    ZONES,
    run_fleet,
)


class SpreadTest(unittest.TestCase):
    """Changes reach every peer within the time, call and byte budgets."""

    def test_changes_in_force_within_time_limit(self) -> None:
        """Each of several changes is in force at every peer within 3 s."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            for _ in range(5):
                elapsed = await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
                self.assertLessEqual(elapsed, IN_FORCE_SECONDS)
            self.assertEqual(fleet.reverts(), 0)

        run_fleet(_async_scenario)

    def test_calls_and_bytes_within_budget(self) -> None:
        """Only readers call the service; no peer exceeds the control byte rate."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            before = len(fleet.service.calls)
            for peer in fleet.peers.values():
                peer.sent_bytes = peer.received_bytes = 0
            for _ in range(6):
                await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
                await asyncio.sleep(10)
            seconds = 60
            calls = (len(fleet.service.calls) - before) / seconds
            readers = sum(peer.spreader.is_reader() for peer in fleet.healthy)
            self.assertEqual(readers, 3 * ZONES)
            self.assertLessEqual(calls, readers * 0.4)
            busiest = max(p.sent_bytes + p.received_bytes for p in fleet.healthy)
            self.assertLessEqual(busiest / seconds, CONTROL_BYTES_PER_S)

        run_fleet(_async_scenario)

    def test_calls_are_independent_of_fleet_size(self) -> None:
        """Three times the backend servers in the same zones cause no more calls."""
        calls: list[int] = []

        async def _async_scenario(fleet: FakeFleet) -> None:
            before = len(fleet.service.calls)
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
            await asyncio.sleep(30)
            calls.append(len(fleet.service.calls) - before)

        run_fleet(_async_scenario, servers=50)
        run_fleet(_async_scenario, servers=150)
        self.assertLessEqual(calls[1], calls[0] * 1.1)

    def test_readers_crash(self) -> None:
        """When every reader of a zone has crashed, another zone supplies it."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            for reader in fleet.tree().readers(fleet.zones[0]):
                fleet.crash(fleet.by_name(reader.name))
            elapsed = await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
            self.assertLessEqual(elapsed, IN_FORCE_SECONDS)

        run_fleet(_async_scenario)

    def test_unresponsive_parent_is_replaced(self) -> None:
        """A parent that stops sending is replaced by another."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            child = next(p for p in fleet.healthy if not p.spreader.is_reader())
            unresponsive = child.spreader.followers[0].parent
            fleet.crash(fleet.by_name(unresponsive.name))
            await asyncio.sleep((PARENT_TIMEOUT + 3 * RETRY_MAX).total_seconds())
            parent = child.spreader.followers[0].parent
            self.assertIsNotNone(parent)
            self.assertNotEqual(parent.name, unresponsive.name)

        run_fleet(_async_scenario, FEW_SERVERS)

    def test_zone_isolated_from_other_zones(self) -> None:
        """A zone that reaches only the service gets changes as fast as the others."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            alone = fleet.zones[1]
            fleet.cut_links(lambda one, other: (one == alone) != (other == alone))
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)

        run_fleet(_async_scenario)

    def test_long_service_outage(self) -> None:
        """The configuration stays in force, calls are limited and recovery is quick."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            fleet.service.is_down = True
            before = len(fleet.service.calls)
            await asyncio.sleep(600)
            self.assertTrue(all(p.coordinator.version == 1 for p in fleet.healthy))
            self.assertTrue(all(p.spreader.freshness.is_stale for p in fleet.healthy))
            rate = (len(fleet.service.calls) - before) / 600
            readers = sum(peer.spreader.is_reader() for peer in fleet.healthy)
            others = len(fleet.peers) - readers
            self.assertLessEqual(rate, readers * 2 + others)
            fleet.service.is_down = False
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)

        run_fleet(_async_scenario, FEW_SERVERS)

    def test_service_returns_with_older_version(self) -> None:
        """An older version from the service is not adopted by any peer."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            old = fleet.service.published[0]
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
            fleet.service.serve(old)
            await asyncio.sleep(60)
            self.assertEqual(fleet.reverts(), 0)
            self.assertTrue(all(p.coordinator.version == 2 for p in fleet.healthy))

        run_fleet(_async_scenario)

    def test_invalid_document_from_service(self) -> None:
        """An invalid document is adopted by no peer; the next valid one is."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            fleet.service.publish(Document(2, "version: 2\n"))
            await asyncio.sleep(20)
            self.assertTrue(all(p.coordinator.version == 1 for p in fleet.healthy))
            fleet.content["version"] = 2
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)

        run_fleet(_async_scenario)

    def test_new_process_adopts_highest_version(self) -> None:
        """A process that joins while the service is stale adopts its peers' version."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            old = fleet.service.published[0]
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
            fleet.service.serve(old)
            joined = fleet.add("late", fleet.zones[0], Endpoint("192.0.2.1", 1))
            fleet.start()
            configuration = await joined.spreader.async_wait_ready()
            self.assertEqual(configuration.version, 2)

        run_fleet(_async_scenario)

    def test_bootstrap_without_service(self) -> None:
        """A new process gets its configuration from its bootstrap peers."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            fleet.service.is_down = True
            known = next(iter(fleet.peers))
            joined = fleet.add(
                "late", fleet.zones[0], Endpoint("192.0.2.1", 1), bootstrap=(known,)
            )
            fleet.start()
            async with asyncio.timeout(IN_FORCE_SECONDS):
                await joined.spreader.async_wait_ready()

        run_fleet(_async_scenario)

    def test_comparison_after_a_pause(self) -> None:
        """A process that was paused adopts the highest version by comparing."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            paused = fleet.healthy[0]
            fleet.crash(paused)
            await asyncio.sleep(1)
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
            comparison = await paused.spreader.async_compare_versions()
            self.assertTrue(comparison.has_answer)
            self.assertEqual(comparison.version, 2)

        run_fleet(_async_scenario)

    def test_comparison_timeout_when_isolated(self) -> None:
        """Without any answer the comparison times out and has no answer."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            fleet.service.is_down = True
            fleet.cut_links(lambda one, other: True)
            start = fleet.clock.monotonic()
            comparison = await fleet.healthy[0].spreader.async_compare_versions()
            self.assertFalse(comparison.has_answer)
            self.assertLess((fleet.clock.monotonic() - start).total_seconds(), 2)

        run_fleet(_async_scenario)

    def test_packet_with_higher_version(self) -> None:
        """A version announced in a packet is fetched from the peer that sent it."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            behind = fleet.healthy[0]
            fleet.crash(behind)
            await fleet.async_wait_for(fleet.publish(), IN_FORCE_SECONDS)
            assert behind.coordinator.current is not None
            announcer = behind.coordinator.current.balancers[5]
            behind.spreader.fetch_announced_version(2, announcer.packets)
            await asyncio.sleep(0.5)
            self.assertEqual(behind.coordinator.version, 2)

        run_fleet(_async_scenario)


class ViewTest(unittest.TestCase):
    """Suspicion views are distributed with the configuration and expire."""

    def test_view_reaches_all_peers_and_expires(self) -> None:
        """Every peer gets the view of a reader and drops it after the readers crash."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            view = SuspicionView(reader="reader", sequence=1, suspected=[7])
            readers = [p for p in fleet.healthy if p.spreader.is_reader()]
            for reader in readers:
                reader.spreader.views.set_own_view(lambda: view)
            await asyncio.sleep(5 * KEEPALIVE_INTERVAL.total_seconds())
            for peer in fleet.healthy:
                current = peer.spreader.views.current
                self.assertIsNotNone(current)
                self.assertEqual(list(current.suspected), [7])
            for reader in readers:
                fleet.crash(reader)
            await asyncio.sleep((VIEW_EXPIRY + 5 * KEEPALIVE_INTERVAL).total_seconds())
            for peer in fleet.healthy:
                self.assertIsNone(peer.spreader.views.current)

        run_fleet(_async_scenario, FEW_SERVERS)

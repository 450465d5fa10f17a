"""Tests of a source that comes back from an older copy."""

import asyncio
import unittest
from datetime import timedelta

from pomelotrail_core.directory import RemovedItem, ServerState, ZoneItem

from .builders import ENTRY_LIFETIME, configuration, entry
from .followed_source import (
    APPLY_SECONDS,
    OPERATOR_REWRITE_SECONDS,
    REWRITE_SECONDS,
    STARTED_MS,
    FollowedSource,
    run_followed,
)


class RestoredSourceTest(unittest.TestCase):
    """A restore is noticed whatever calls were under way."""

    def test_change_just_after_a_restore_is_in_force(self) -> None:
        """The change gets a number that a lost change had, and is read all the same."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose two versions and publish a third one."""
            copy = followed.source.copy()
            for version in (10, 13):
                followed.source.write(configuration(version))
                await asyncio.sleep(3)
            await followed.async_restore(copy)
            followed.source.write(configuration(13))
            followed.source.write(configuration(16))
            await asyncio.sleep(APPLY_SECONDS)
            self.assertEqual(followed.directory.version, 16)
            self.assertEqual(followed.counters.value("store_restores"), 1)
            self.assertIn("source_restored", followed.logged_events)

        run_followed(async_test)

    def test_restore_between_two_watches(self) -> None:
        """A change is in force in time although no call failed."""

        async def async_test(followed: FollowedSource) -> None:
            """Restore the source while the follower batches changes."""
            copy = followed.source.copy()
            followed.source.write(configuration(5))
            await asyncio.sleep(0.3)
            await followed.async_restore(copy, outage_s=0)
            followed.source.write(configuration(6))
            await asyncio.sleep(APPLY_SECONDS)
            self.assertEqual(followed.directory.version, 6)

        run_followed(async_test)

    def test_two_restores_in_a_row(self) -> None:
        """An entry that both copies lack has its whole time after the second one."""

        async def async_test(followed: FollowedSource) -> None:
            """Restore the same copy again before the entry is written again."""
            copy = followed.source.copy()
            await followed.async_lose(entry(started_ms=STARTED_MS))
            await asyncio.sleep(1.5)
            await followed.async_restore(copy, outage_s=0.1)
            await asyncio.sleep(REWRITE_SECONDS - 0.3)
            self.assertEqual(followed.candidates, ["server-1"])

        run_followed(async_test)

    def test_restore_that_broke_no_call(self) -> None:
        """Entries that went missing before have their whole time after it."""

        async def async_test(followed: FollowedSource) -> None:
            """Restore twice while a watch waits."""
            copy = followed.source.copy()
            followed.source.write(entry(started_ms=STARTED_MS))
            await asyncio.sleep(1)
            for version in (5, 6):
                followed.source.restore(copy)
                followed.source.write(configuration(version))
                await asyncio.sleep(REWRITE_SECONDS - 0.5)
            self.assertEqual(followed.candidates, ["server-1"])

        run_followed(async_test)


class RestoredServersTest(unittest.TestCase):
    """Which entry of a server holds, the copy's or the one that was known."""

    def test_server_that_announced_its_end_before_a_restore(self) -> None:
        """It gets no new flow, although the copy has it as ready."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose the announcement, until the server writes it again."""
            followed.source.write(entry(started_ms=STARTED_MS, sequence=3))
            leaving = entry(
                started_ms=STARTED_MS, sequence=7, state=ServerState.LEAVING
            )
            await followed.async_lose(leaving)
            await asyncio.sleep(1)
            self.assertEqual(followed.candidates, [])
            followed.source.write(leaving)
            await asyncio.sleep(1)
            self.assertEqual(followed.candidates, [])

        run_followed(async_test)

    def test_announcement_just_after_a_restore(self) -> None:
        """A server's later entry is applied, although its number is lower."""

        async def async_test(followed: FollowedSource) -> None:
            """Announce the end of a server that other changes preceded."""
            copy = followed.source.copy()
            for sequence in (3, 4, 5):
                followed.source.write(entry(started_ms=STARTED_MS, sequence=sequence))
            await asyncio.sleep(1)
            await followed.async_restore(copy)
            await asyncio.sleep(1)
            self.assertEqual(followed.candidates, ["server-1"])
            followed.source.write(
                entry(started_ms=STARTED_MS, sequence=6, state=ServerState.LEAVING)
            )
            await asyncio.sleep(1)
            self.assertEqual(followed.candidates, [])

        run_followed(async_test)

    def test_server_that_left_before_a_restore(self) -> None:
        """It gets new flows only if its entry outlasts the time in which it expires."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose the removal of a server's entry."""
            followed.source.write(entry(started_ms=STARTED_MS, sequence=3))
            await followed.async_lose(RemovedItem(identity="server-1"))
            await asyncio.sleep(2)
            self.assertEqual(followed.candidates, [])
            self.assertEqual(followed.possible_owners, ["server-1"])
            await asyncio.sleep(ENTRY_LIFETIME.total_seconds())
            self.assertEqual(followed.candidates, ["server-1"])

        run_followed(async_test)

    def test_server_that_writes_its_entry_again_late(self) -> None:
        """It gets new flows at once, although its removal was read before."""

        async def async_test(followed: FollowedSource) -> None:
            """Write a lost entry again after the time in which it is expected."""
            await followed.async_lose(entry(started_ms=STARTED_MS))
            await asyncio.sleep(REWRITE_SECONDS + 1)
            self.assertEqual(followed.candidates, [])
            followed.source.write(entry(started_ms=STARTED_MS))
            await asyncio.sleep(0.1)
            self.assertEqual(followed.candidates, ["server-1"])

        run_followed(async_test)

    def test_entry_of_the_copy_that_expires(self) -> None:
        """A server that has left gets no flow before the removal is read."""

        async def async_test(followed: FollowedSource) -> None:
            """Let the copy's entry expire while the follower batches changes."""
            followed.source.write(entry(started_ms=STARTED_MS, sequence=3))
            await followed.async_lose(
                entry(started_ms=STARTED_MS, sequence=7, state=ServerState.LEAVING)
            )
            await asyncio.sleep(ENTRY_LIFETIME.total_seconds() - 0.1)
            followed.source.write(configuration(5))
            await asyncio.sleep(0.1)
            followed.source.write(RemovedItem(identity="server-1"))
            for _ in range(10):
                self.assertEqual(followed.candidates, [])
                await asyncio.sleep(0.2)

        run_followed(async_test)

    def test_leaving_server_that_the_copy_lacks(self) -> None:
        """Its flows keep their owner until the server has written its entry again."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose the registration and the announced end of a server."""
            leaving = entry(
                started_ms=STARTED_MS, sequence=7, state=ServerState.LEAVING
            )
            await followed.async_lose(leaving)
            await asyncio.sleep(REWRITE_SECONDS - 0.2)
            # The entry waits at the source while the follower batches changes.
            followed.source.write(configuration(5))
            await asyncio.sleep(0.1)
            followed.source.write(leaving)
            await asyncio.sleep(0.5)
            self.assertEqual(followed.directory.confirmed_removals(), [])
            await asyncio.sleep(1)
            self.assertEqual(followed.possible_owners, ["server-1"])

        run_followed(async_test)

    def test_server_that_only_the_lost_part_had(self) -> None:
        """The directory may lack it until it has written its entry again."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose a registration that the directory has not read."""
            await followed.async_restore(followed.source.copy())
            await asyncio.sleep(1)
            self.assertTrue(followed.directory.may_lack_entries)
            await asyncio.sleep(REWRITE_SECONDS)
            self.assertFalse(followed.directory.may_lack_entries)

        run_followed(async_test)

    def test_address_taken_over_before_a_restore(self) -> None:
        """The later server keeps the address that the copy gives to the earlier one."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose the entry of the second server at an address."""
            followed.source.write(entry(started_ms=STARTED_MS))
            await followed.async_lose(
                entry(identity="server-2", started_ms=STARTED_MS + 5_000)
            )
            await asyncio.sleep(1)
            self.assertEqual(followed.candidates, ["server-2"])

        run_followed(async_test)

    def test_server_whose_clock_is_behind_takes_over_an_address(self) -> None:
        """It gets new flows although the lost server there seems to be later."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose the entry of a server whose address another one gets."""
            await followed.async_lose(entry(started_ms=STARTED_MS))
            followed.source.write(
                entry(identity="server-2", started_ms=STARTED_MS - 5_000)
            )
            await asyncio.sleep(REWRITE_SECONDS + 1)
            self.assertIn("server-2", followed.possible_owners)
            await asyncio.sleep(ENTRY_LIFETIME.total_seconds() + 1)
            self.assertEqual(followed.candidates, ["server-2"])

        run_followed(async_test)

    def test_warm_server_stays_warm_after_a_restore(self) -> None:
        """An entry that was known already doesn't start its warm-up again."""

        async def async_test(followed: FollowedSource) -> None:
            """Restore a copy that has the entry of a server that is warm by now."""
            followed.source.write(
                entry(started_ms=STARTED_MS, cold_for=timedelta(seconds=2))
            )
            await asyncio.sleep(3)
            await followed.async_restore(followed.source.copy())
            await asyncio.sleep(1)
            (server,) = followed.directory.candidates("ledger")
            self.assertIsNone(followed.directory.cold_flows_per_s(server))

        run_followed(async_test)


class RestoredZonesTest(unittest.TestCase):
    """Zones stay as they were until operators have written again."""

    def test_evacuation_that_the_copy_lacks(self) -> None:
        """The zone stays out until the operators have written it again."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose an evacuation, and write it again."""
            followed.source.write(entry())
            await followed.async_lose(ZoneItem("zone-1"))
            for _ in range(3):
                await asyncio.sleep(0.5)
                self.assertEqual(followed.candidates, [])
            followed.source.write(ZoneItem("zone-1"))
            await asyncio.sleep(2 * REWRITE_SECONDS)
            self.assertEqual(followed.candidates, [])
            self.assertIn("zone_confirmed", followed.logged_events)

        run_followed(async_test)

    def test_evacuation_that_is_written_again_late(self) -> None:
        """The zone stays out although servers have written again long before."""

        async def async_test(followed: FollowedSource) -> None:
            """Write a lost evacuation again after five seconds."""
            followed.source.write(entry())
            await followed.async_lose(ZoneItem("zone-1"))
            for _ in range(10):
                await asyncio.sleep(0.5)
                self.assertEqual(followed.candidates, [])
            followed.source.write(ZoneItem("zone-1"))
            await asyncio.sleep(OPERATOR_REWRITE_SECONDS)
            self.assertEqual(followed.candidates, [])

        run_followed(async_test)

    def test_evacuation_that_ended_with_the_restore(self) -> None:
        """The zone is back if nobody writes the evacuation again."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose an evacuation for good."""
            followed.source.write(entry())
            await followed.async_lose(ZoneItem("zone-1"))
            await asyncio.sleep(REWRITE_SECONDS + OPERATOR_REWRITE_SECONDS + 2)
            self.assertEqual(followed.candidates, ["server-1"])

        run_followed(async_test)

    def test_ended_evacuation_that_the_copy_still_has(self) -> None:
        """The zone stays in service unless its evacuation is not ended again."""

        async def async_test(followed: FollowedSource) -> None:
            """Lose the end of an evacuation."""
            followed.source.write(entry())
            followed.source.write(ZoneItem("zone-1"))
            await followed.async_lose(RemovedItem(zone="zone-1"))
            await asyncio.sleep(1)
            self.assertEqual(followed.candidates, ["server-1"])
            await asyncio.sleep(2 * REWRITE_SECONDS)
            self.assertEqual(followed.candidates, [])

        run_followed(async_test)

    def test_evacuation_read_by_another_listing(self) -> None:
        """A contested zone follows a later listing that has its evacuation again."""

        async def async_test(followed: FollowedSource) -> None:
            """Write the evacuation again before the history is lost."""
            followed.source.write(entry())
            await followed.async_lose(ZoneItem("zone-1"))
            await asyncio.sleep(1)
            followed.stop()
            followed.source.write(ZoneItem("zone-1"))
            listing = await followed.source.async_list(timedelta(seconds=1))
            followed.directory.replace(listing.ok_value)
            await asyncio.sleep(REWRITE_SECONDS + OPERATOR_REWRITE_SECONDS + 2)
            self.assertEqual(followed.candidates, [])

        run_followed(async_test)

    def test_end_of_an_evacuation_read_by_another_listing(self) -> None:
        """A contested zone follows a later listing without its evacuation."""

        async def async_test(followed: FollowedSource) -> None:
            """End the evacuation again before the history is lost."""
            followed.source.write(entry())
            followed.source.write(ZoneItem("zone-1"))
            await followed.async_lose(RemovedItem(zone="zone-1"))
            await asyncio.sleep(1)
            followed.stop()
            followed.source.write(RemovedItem(zone="zone-1"))
            listing = await followed.source.async_list(timedelta(seconds=1))
            followed.directory.replace(listing.ok_value)
            await asyncio.sleep(2 * REWRITE_SECONDS)
            self.assertEqual(followed.candidates, ["server-1"])

        run_followed(async_test)

    def test_evacuation_just_after_a_restore(self) -> None:
        """It is in force although the copy has an earlier one that has ended."""

        async def async_test(followed: FollowedSource) -> None:
            """Begin another evacuation of the zone."""
            followed.source.write(entry())
            followed.source.write(ZoneItem("zone-1"))
            await followed.async_lose(RemovedItem(zone="zone-1"))
            await asyncio.sleep(1)
            followed.source.write(ZoneItem("zone-1"))
            await asyncio.sleep(0.1)
            self.assertEqual(followed.candidates, [])

        run_followed(async_test)

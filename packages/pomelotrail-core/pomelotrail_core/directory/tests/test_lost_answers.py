"""Answers of the source that are lost on a connection that lives on."""

import asyncio
import unittest
from collections.abc import Callable

from pomelotrail_core.directory import RemovedItem, ServerState, ZoneItem

from .builders import configuration, entry
from .followed_source import (
    APPLY_SECONDS,
    SETTLED_SECONDS,
    FollowedSource,
    run_followed,
)
from .memory_source import MemorySource

# Within a wait of four seconds, and between two.
_OFFSETS = (0.05, 0.5, 1.0, 1.5, 2.0, 2.45, 2.55, 3.0, 3.5, 3.95, 4.0, 5.2)


class LostAnswerTest(unittest.TestCase):
    """Changes are in force in time although the answer that has them is lost."""

    def check(
        self,
        change: Callable[[MemorySource], None],
        is_in_force: Callable[[FollowedSource], bool],
        loses_check: bool = False,
    ) -> None:
        """Lose the answer to a watch at any time of its wait, and that of a check."""
        limit_s = SETTLED_SECONDS if loses_check else APPLY_SECONDS
        for offset in _OFFSETS:
            with self.subTest(offset=offset):

                async def async_test(
                    followed: FollowedSource, offset: float = offset
                ) -> None:
                    """Write the change and wait for the operators' limit."""
                    followed.source.write(entry())
                    await asyncio.sleep(2 + offset)
                    followed.source.loses_next_answer = True
                    followed.source.loses_next_check = loses_check
                    change(followed.source)
                    await asyncio.sleep(limit_s)
                    self.assertTrue(is_in_force(followed))

                run_followed(async_test)

    def test_configuration(self) -> None:
        """Guards against a dropped route that is served until the watch times out."""
        self.check(
            lambda source: source.write(configuration(9)),
            lambda followed: followed.directory.version == 9,
        )

    def test_check_that_is_lost_too(self) -> None:
        """Guards against a watch that is taken for good because a check failed."""
        self.check(
            lambda source: source.write(configuration(9)),
            lambda followed: followed.directory.version == 9,
            loses_check=True,
        )

    def test_answer_that_is_transferred_slowly(self) -> None:
        """It isn't taken for lost once it has begun to arrive."""

        async def async_test(followed: FollowedSource) -> None:
            """Write a change whose transfer takes longer than the check waits."""
            followed.source.transfer_s = 4.0
            followed.source.write(configuration(9))
            await asyncio.sleep(9)
            self.assertEqual(followed.directory.version, 9)
            self.assertNotIn("source_lost", followed.logged_events)

        run_followed(async_test)

    def test_evacuation(self) -> None:
        """The zone gets no new flows."""
        self.check(
            lambda source: source.write(ZoneItem("zone-1")),
            lambda followed: not followed.candidates,
        )

    def test_leaving_server(self) -> None:
        """It gets no new flows."""
        self.check(
            lambda source: source.write(entry(state=ServerState.LEAVING)),
            lambda followed: not followed.candidates,
        )

    def test_end_of_an_evacuation(self) -> None:
        """A change that follows the one whose answer was lost is read too."""

        def change(source: MemorySource) -> None:
            """Evacuate the zone and take it back at once."""
            source.write(ZoneItem("zone-1"))
            source.write(RemovedItem(zone="zone-1"))
            source.write(configuration(9))

        self.check(
            change,
            lambda followed: (
                followed.candidates == ["server-1"] and followed.directory.version == 9
            ),
        )

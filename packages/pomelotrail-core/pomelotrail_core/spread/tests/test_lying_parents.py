"""Tests of parents that are wrong, over a fake network in virtual time."""

import asyncio
import unittest
from collections.abc import Callable

from pomelotrail_core.configuration.delta import compress
from pomelotrail_core.spread.spread_pb2 import SpreadMessage

from .fakes import FakeFleet, Peer
from .scenarios import (
    FEW_SERVERS,
    HEAL_SECONDS,
    run_fleet,
)


class LyingParentTest(unittest.TestCase):
    """Parents that are wrong delay nobody and convince nobody."""

    def check(self, lie: Callable[[SpreadMessage], SpreadMessage]) -> None:
        """Make the first readers' children's parents lie, then publish."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            liars: list[Peer] = []
            for zone in fleet.zones:
                liars.append(fleet.by_name(fleet.tree().readers(zone)[0].name))
            for liar in liars:
                liar.lie = lie
            version = fleet.publish()
            await fleet.async_wait_for(version, HEAL_SECONDS)
            await asyncio.sleep(30)
            self.assertEqual(fleet.reverts(), 0)
            self.assertTrue(all(p.coordinator.version == 2 for p in fleet.honest))
            texts = {p.coordinator.document.text for p in fleet.honest}
            self.assertEqual(texts, {fleet.service.published[-1].text})

        run_fleet(_async_scenario, FEW_SERVERS * 2)

    def test_higher_version_that_is_not_there(self) -> None:
        """A version that nobody can give is never in force."""

        def lie(message: SpreadMessage) -> SpreadMessage:
            message.version = 999
            message.digest = b"x" * 16
            return message

        self.check(lie)

    def test_broken_document(self) -> None:
        """A document that can't be used is never in force."""

        def lie(message: SpreadMessage) -> SpreadMessage:
            message.version = 999
            message.ClearField("delta")
            message.document = compress("version: 999\nzones: []\n")
            return message

        self.check(lie)

    def test_broken_delta(self) -> None:
        """A delta that gives another document is not taken."""

        def lie(message: SpreadMessage) -> SpreadMessage:
            if message.delta:
                message.delta = message.delta[:-1]
            return message

        self.check(lie)

    def test_older_version(self) -> None:
        """A parent that stays behind holds nobody back."""

        def lie(message: SpreadMessage) -> SpreadMessage:
            message.version = 1
            message.ClearField("delta")
            message.ClearField("digest")
            return message

        self.check(lie)

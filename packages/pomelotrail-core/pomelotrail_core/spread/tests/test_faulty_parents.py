"""Tests with parents that send invalid data, over a fake network in virtual time."""

import asyncio
import unittest
from collections.abc import Callable

from pomelotrail_core.configuration.delta import compress
from pomelotrail_core.spread.spread_pb2 import SpreadMessage

from .fakes import FakeFleet, Peer
from .scenarios import (
    FEW_SERVERS,
    RECOVERY_SECONDS,
    run_fleet,
)


class FaultyParentTest(unittest.TestCase):
    """Faulty parents neither delay other peers nor get their data adopted."""

    def check(self, tamper: Callable[[SpreadMessage], SpreadMessage]) -> None:
        """Tamper with the messages of the first reader of each zone, then publish."""

        async def _async_scenario(fleet: FakeFleet) -> None:
            faulty_parents: list[Peer] = []
            for zone in fleet.zones:
                faulty_parents.append(fleet.by_name(fleet.tree().readers(zone)[0].name))
            for parent in faulty_parents:
                parent.tamper = tamper
            version = fleet.publish()
            await fleet.async_wait_for(version, RECOVERY_SECONDS)
            await asyncio.sleep(30)
            self.assertEqual(fleet.reverts(), 0)
            self.assertTrue(all(p.coordinator.version == 2 for p in fleet.healthy))
            texts = {p.coordinator.document.text for p in fleet.healthy}
            self.assertEqual(texts, {fleet.service.published[-1].text})

        run_fleet(_async_scenario, FEW_SERVERS * 2)

    def test_nonexistent_higher_version(self) -> None:
        """A version that no peer can provide never comes into force."""

        def tamper(message: SpreadMessage) -> SpreadMessage:
            message.version = 999
            message.digest = b"x" * 16
            return message

        self.check(tamper)

    def test_invalid_document(self) -> None:
        """An invalid document never comes into force."""

        def tamper(message: SpreadMessage) -> SpreadMessage:
            message.version = 999
            message.ClearField("delta")
            message.document = compress("version: 999\nzones: []\n")
            return message

        self.check(tamper)

    def test_invalid_delta(self) -> None:
        """A delta that doesn't produce the announced document is not adopted."""

        def tamper(message: SpreadMessage) -> SpreadMessage:
            if message.delta:
                message.delta = message.delta[:-1]
            return message

        self.check(tamper)

    def test_older_version(self) -> None:
        """A parent that stays on an older version does not delay its children."""

        def tamper(message: SpreadMessage) -> SpreadMessage:
            message.version = 1
            message.ClearField("delta")
            message.ClearField("digest")
            return message

        self.check(tamper)

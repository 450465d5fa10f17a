"""Tests of probes that are sent to other companions, and of their denials."""

import asyncio
import unittest
from typing import Final

from harness.virtual_time import VirtualClock, run_in_virtual_time
from pomelotrail_companion.server_proxy.const import (
    DENIAL_COLLECTION_TIME,
    DENIAL_RETENTION,
)
from pomelotrail_companion.server_proxy.probe_relay import ProbeRelay
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.endpoint import pack_address
from pomelotrail_core.offers import (
    CollectedDenials,
    LookupMiss,
    Probe,
    ProbeRequest,
    decode,
)

_BALANCER: Final = ("192.0.2.100", 4001)
_COMPANIONS: Final = tuple((f"192.0.2.{index}", 4001) for index in range(1, 4))
_FLOW: Final = b"flow"
_WAIT_S: Final = DENIAL_COLLECTION_TIME.total_seconds()


class ProbeRelayTest(unittest.TestCase):
    """A relay that probes three companions for a balancer."""

    def start(self, collects_denials: bool = True) -> None:
        """Send the probes."""
        self.sent: list[tuple[object, Address]] = []
        self.clock = VirtualClock()
        self.relay = ProbeRelay(
            self.clock,
            Counters(),
            lambda data, target: self.sent.append((decode(data), target)),
        )
        addresses = tuple(map(pack_address, _COMPANIONS))
        request = ProbeRequest(
            b"packet", pack_address(_BALANCER), addresses, collects_denials
        )
        self.relay.send(request, _FLOW)
        probe = Probe(b"packet", pack_address(_BALANCER), collects_denials)
        self.assertEqual(self.sent, [(probe, each) for each in _COMPANIONS])
        self.sent.clear()

    def deny(self, *indexes: int, unsettled_ms: int = 0) -> None:
        """Let some of the companions deny the flow."""
        for index in indexes:
            miss = LookupMiss(_FLOW, b"", unsettled_ms)
            self.relay.record_denial(miss, _COMPANIONS[index])

    def denials(self, *indexes: int, unsettled_ms: int = 0) -> tuple[object, Address]:
        """Return a message with the denials of some companions, and its receiver."""
        addresses = tuple(pack_address(_COMPANIONS[index]) for index in indexes)
        return CollectedDenials(_FLOW, addresses, unsettled_ms), _BALANCER

    def test_denials_share_a_message(self) -> None:
        """It is sent with the last one, and has the longest grace period of all."""

        async def async_test() -> None:
            """Deny one by one, the last one twice."""
            self.start()
            self.deny(0)
            self.deny(2, unsettled_ms=700)
            self.assertEqual(self.sent, [])
            self.deny(1, 1)
            await asyncio.sleep(_WAIT_S * 2)
            self.assertEqual(self.sent, [self.denials(0, 2, 1, unsettled_ms=700)])

        run_in_virtual_time(async_test())

    def test_companion_that_denies_late(self) -> None:
        """The others aren't held up, and its own denial is passed on at once."""

        async def async_test() -> None:
            """Let one companion deny after the wait, and one not at all."""
            self.start()
            self.deny(0)
            await asyncio.sleep(_WAIT_S * 1.5)
            self.assertEqual(self.sent, [self.denials(0)])
            self.deny(1)
            self.assertEqual(self.sent, [self.denials(0), self.denials(1)])

        run_in_virtual_time(async_test())

    def test_second_request_of_a_flow(self) -> None:
        """What was collected for the first one isn't lost."""

        async def async_test() -> None:
            """Probe one companion again while another one hasn't replied."""
            self.start()
            self.deny(0)
            addresses = (pack_address(_COMPANIONS[1]),)
            request = ProbeRequest(b"two", pack_address(_BALANCER), addresses, True)
            self.relay.send(request, _FLOW)
            self.sent = [each for each in self.sent if each[1] == _BALANCER]
            self.assertEqual(self.sent, [self.denials(0)])
            self.deny(1)
            self.assertEqual(self.sent, [self.denials(0), self.denials(1)])

        run_in_virtual_time(async_test())

    def test_balancer_of_an_earlier_version(self) -> None:
        """It doesn't understand collected denials, and gets none."""

        async def async_test() -> None:
            """Send a request without the flag."""
            self.start(collects_denials=False)
            self.deny(0, 1, 2)
            self.assertEqual(self.sent, [])

        run_in_virtual_time(async_test())

    def test_old_collections_are_dropped(self) -> None:
        """A denial that comes after the balancer has repeated its probes is stale."""

        async def async_test() -> None:
            """Sweep before and after the retention time."""
            self.start()
            self.relay.sweep(self.clock.monotonic())
            self.deny(0)
            await asyncio.sleep(DENIAL_RETENTION.total_seconds())
            self.relay.sweep(self.clock.monotonic())
            self.deny(1)
            self.assertEqual(self.sent, [self.denials(0)])

        run_in_virtual_time(async_test())

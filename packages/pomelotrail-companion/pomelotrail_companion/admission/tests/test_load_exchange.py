"""Tests of the exchange of loads between companions."""

import random
import unittest

from grpclib.testing import ChannelFor

from harness.builders import configuration
from harness.fake_clock import FakeClock
from pomelotrail_companion.admission import LoadExchangeService
from pomelotrail_companion.admission.load_grpc import LoadExchangeStub
from pomelotrail_companion.admission.load_pb2 import LoadReport
from pomelotrail_companion.admission.peer_loads import Load
from pomelotrail_core.endpoint import Endpoint

_OWN = Endpoint("192.0.2.1", 7000)
_PEER = Endpoint("192.0.2.2", 7000).pack()


class LoadExchangeTest(unittest.IsolatedAsyncioTestCase):
    """Companions of a service hear each other's load."""

    async def asyncSetUp(self) -> None:
        """Make one end of the exchange."""
        self.exchange = LoadExchangeService(
            "stock-ledger", _OWN, FakeClock(), random.Random(1)
        )

    async def test_exchange_goes_both_ways(self) -> None:
        """A report is heard and answered with the own load."""
        self.exchange.attach(lambda: Load(10, 2000.0))
        async with ChannelFor([self.exchange]) as channel:
            report = LoadReport(companion=_PEER, flows=500, capacity=2000.0)
            reply = await LoadExchangeStub(channel).Exchange(report)
        self.assertEqual((reply.flows, reply.capacity), (10, 2000.0))
        self.assertEqual(reply.companion, _OWN.pack())
        self.assertEqual(self.exchange.loads.least_use([_PEER]), 0.25)

    async def test_process_that_starts_moves_no_mean(self) -> None:
        """A report without a capacity is not a load."""
        async with ChannelFor([self.exchange]) as channel:
            await LoadExchangeStub(channel).Exchange(LoadReport(companion=_PEER))
        self.assertIsNone(self.exchange.loads.least_use([_PEER]))

    async def test_peers_leave_out_itself_and_zones_out(self) -> None:
        """Nobody asks itself or a companion that takes no flows."""
        self.exchange.configure(configuration(zones_out=frozenset({"porbandar"})))
        zones = {server.zone for server in self.exchange._peers}
        names = {server.name for server in self.exchange._peers}
        self.assertNotIn("porbandar", zones)
        self.assertNotIn("ledger-1", names)
        self.assertEqual(len(names), 4)

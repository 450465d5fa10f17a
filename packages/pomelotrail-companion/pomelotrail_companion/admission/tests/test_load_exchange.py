"""Tests of the load exchange between companions."""

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
    """Companions of a service exchange their loads."""

    async def asyncSetUp(self) -> None:
        """Create one endpoint of the exchange."""
        self.exchange = LoadExchangeService(
            "stock-ledger", _OWN, FakeClock(), random.Random(1)
        )

    async def test_exchange_goes_both_ways(self) -> None:
        """A report is recorded and answered with the own load."""
        self.exchange.attach(lambda: Load(10, 2000.0))
        async with ChannelFor([self.exchange]) as channel:
            report = LoadReport(companion=_PEER, flows=500, capacity=2000.0)
            reply = await LoadExchangeStub(channel).Exchange(report)
        self.assertEqual((reply.flows, reply.capacity), (10, 2000.0))
        self.assertEqual(reply.companion, _OWN.pack())
        self.assertEqual(self.exchange.loads.lowest_utilization([_PEER]), 0.25)

    async def test_report_without_capacity_is_ignored(self) -> None:
        """A peer that is still starting reports no capacity."""
        async with ChannelFor([self.exchange]) as channel:
            await LoadExchangeStub(channel).Exchange(LoadReport(companion=_PEER))
        self.assertIsNone(self.exchange.loads.lowest_utilization([_PEER]))

    async def test_peers_exclude_own_server_and_zones_out(self) -> None:
        """Neither itself nor a companion that accepts no flows is queried."""
        self.exchange.configure(configuration(zones_out=frozenset({"porbandar"})))
        zones = {server.zone for server in self.exchange._peers}
        names = {server.name for server in self.exchange._peers}
        self.assertNotIn("porbandar", zones)
        self.assertNotIn("ledger-1", names)
        self.assertEqual(len(names), 4)

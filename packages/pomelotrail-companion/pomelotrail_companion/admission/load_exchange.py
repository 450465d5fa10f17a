"""Exchanges load reports with a few companions of the same service."""

import asyncio
import contextlib
import random
from collections.abc import Callable

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Stream

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import BackendServer, Configuration
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import open_channel

from .const import EXCHANGE_INTERVAL, EXCHANGE_PEERS, EXCHANGE_TIMEOUT
from .load_grpc import LoadExchangeBase, LoadExchangeStub
from .load_pb2 import LoadReport
from .peer_loads import Load, PeerLoads

LoadGetter = Callable[[], Load]


class LoadExchangeService(LoadExchangeBase):
    """Exchanges load reports with peers at every interval.

    Each exchange is bidirectional. The peers are selected at random each time, so
    the reports of a companion are a fair sample of its service. A peer that can't
    be reached is skipped, and its last report expires.
    """

    def __init__(
        self, service: str, own_address: Endpoint, clock: Clock, rng: random.Random
    ) -> None:
        """Exchange loads for the companion with that packet address."""
        self._service = service
        self._own_address = own_address
        self._clock = clock
        self._rng = rng
        self._loads = PeerLoads(clock)
        self._get_own_load: LoadGetter | None = None
        self._peers: tuple[BackendServer, ...] = ()
        self._channels: dict[Endpoint, Channel] = {}

    @property
    def loads(self) -> PeerLoads:
        """Return the reported loads of the peers."""
        return self._loads

    def attach(self, get_own_load: LoadGetter) -> None:
        """Set the function that returns the load to report."""
        self._get_own_load = get_own_load

    def configure(self, configuration: Configuration) -> None:
        """Update the peers to those that may accept flows."""
        service = configuration.service(self._service)
        servers = service.backend_servers if service is not None else ()
        self._peers = tuple(
            server
            for server in servers
            if server.packets != self._own_address
            and not server.is_out
            and server.zone not in configuration.zones_out
        )
        self._close_other_channels({server.control for server in self._peers})

    async def async_run(self) -> None:
        """Exchange with a few peers every interval until cancelled."""
        try:
            while True:
                count = min(EXCHANGE_PEERS, len(self._peers))
                peers = self._rng.sample(self._peers, count)
                await asyncio.gather(*(self._async_exchange(peer) for peer in peers))
                await self._clock.async_sleep(EXCHANGE_INTERVAL)
        finally:
            self._close_other_channels(set())

    async def Exchange(  # noqa: N802 (named by the protocol)
        self, stream: Stream[LoadReport, LoadReport]
    ) -> None:
        """Record the report of a peer and reply with the own load."""
        report = await stream.recv_message()
        if report is not None:
            self._record_report(report)
        await stream.send_message(self._report())

    async def _async_exchange(self, peer: BackendServer) -> None:
        """Exchange loads with one peer."""
        if self._get_own_load is None:
            return
        channel = self._channels.get(peer.control)
        if channel is None:
            channel = self._channels[peer.control] = open_channel(peer.control)
        failures = (OSError, TimeoutError, GRPCError, StreamTerminatedError)
        with contextlib.suppress(*failures):
            async with asyncio.timeout(EXCHANGE_TIMEOUT.total_seconds()):
                self._record_report(
                    await LoadExchangeStub(channel).Exchange(self._report())
                )

    def _record_report(self, report: LoadReport) -> None:
        """Record a report; a peer that is still starting reports no capacity."""
        if report.capacity > 0:
            self._loads.record_load(
                report.companion, Load(report.flows, report.capacity)
            )

    def _report(self) -> LoadReport:
        """Return the report of the own load."""
        if self._get_own_load is None:
            return LoadReport(companion=self._own_address.pack())
        load = self._get_own_load()
        return LoadReport(
            companion=self._own_address.pack(), flows=load.flows, capacity=load.capacity
        )

    def _close_other_channels(self, keep: set[Endpoint]) -> None:
        """Close the channels to processes that are no longer peers."""
        for endpoint in set(self._channels) - keep:
            self._channels.pop(endpoint).close()

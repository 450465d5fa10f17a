"""Exchanges loads with a few companions of the same service."""

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

OwnLoad = Callable[[], Load]


class LoadExchangeService(LoadExchangeBase):
    """Tells peers the own load, and hears theirs, every interval.

    Each exchange goes both ways. The peers are drawn anew each time, so what
    one companion knows is a fair sample of its service. A peer that can't be
    reached is passed over; its last report ages out.
    """

    def __init__(
        self, service: str, own: Endpoint, clock: Clock, rng: random.Random
    ) -> None:
        """Exchange for the companion with that packet address."""
        self._service = service
        self._own = own
        self._clock = clock
        self._rng = rng
        self._loads = PeerLoads(clock)
        self._own_load: OwnLoad | None = None
        self._peers: tuple[BackendServer, ...] = ()
        self._channels: dict[Endpoint, Channel] = {}

    @property
    def loads(self) -> PeerLoads:
        """Return what has been heard."""
        return self._loads

    def attach(self, own_load: OwnLoad) -> None:
        """Tell what this function returns from now on."""
        self._own_load = own_load

    def configure(self, configuration: Configuration) -> None:
        """Take over the peers that may take flows."""
        service = configuration.service(self._service)
        servers = service.backend_servers if service is not None else ()
        self._peers = tuple(
            server
            for server in servers
            if server.packets != self._own
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
        """Hear a peer and answer with the own load."""
        report = await stream.recv_message()
        if report is not None:
            self._hear(report)
        await stream.send_message(self._report())

    async def _async_exchange(self, peer: BackendServer) -> None:
        """Exchange loads with one peer."""
        if self._own_load is None:
            return
        channel = self._channels.get(peer.control)
        if channel is None:
            channel = self._channels[peer.control] = open_channel(peer.control)
        failures = (OSError, TimeoutError, GRPCError, StreamTerminatedError)
        with contextlib.suppress(*failures):
            async with asyncio.timeout(EXCHANGE_TIMEOUT.total_seconds()):
                self._hear(await LoadExchangeStub(channel).Exchange(self._report()))

    def _hear(self, report: LoadReport) -> None:
        """Take over a report; one without a load is from a process that starts."""
        if report.capacity > 0:
            self._loads.hear(report.companion, Load(report.flows, report.capacity))

    def _report(self) -> LoadReport:
        """Return the own load as a message."""
        if self._own_load is None:
            return LoadReport(companion=self._own.pack())
        load = self._own_load()
        return LoadReport(
            companion=self._own.pack(), flows=load.flows, capacity=load.capacity
        )

    def _close_other_channels(self, keep: set[Endpoint]) -> None:
        """Close the channels to processes that are no peers any more."""
        for endpoint in set(self._channels) - keep:
            self._channels.pop(endpoint).close()

"""Assembles the components of the balancer and runs it."""

import asyncio
import functools

import aiohttp

from pomelotrail_core.background import BackgroundTasks
from pomelotrail_core.clock import Clock, SystemClock
from pomelotrail_core.configuration import ConfigurationCoordinator
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import get_logger
from pomelotrail_core.membership import Roster
from pomelotrail_core.membership.role import MemberRole
from pomelotrail_core.metrics import Metrics
from pomelotrail_core.peers import ControlServer
from pomelotrail_core.peers.status import StatusService
from pomelotrail_core.process import announce_ready
from pomelotrail_core.process_spread import ProcessSpread
from pomelotrail_core.routing import Encapsulation, RendezvousRanking, TokenReader
from pomelotrail_core.routing.version_watch import VersionWatch
from pomelotrail_core.spread import PeerCheck
from pomelotrail_core.starting import async_open_address, async_run_unless_stopped
from pomelotrail_core.suspend_detection import SuspendDetector
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.metrics import observe_process
from pomelotrail_core.timeline.service import TimelineService

from .forwarding import Forwarder, PacketCounter, ServiceSocket
from .return_path import FleetSocket
from .settings import BalancerSettings, ListenAddress
from .zone_events import ZoneEvents

_LOGGER = get_logger("balancer")


class Balancer:
    """Balancer process."""

    def __init__(self, settings: BalancerSettings, clock: Clock) -> None:
        """Create the components without starting them."""
        self._settings = settings
        self._clock = clock
        process = settings.process
        self._recorder = Recorder(process.name, process.zone, clock)
        self._metrics = Metrics(process.name, process.zone)
        self._coordinator = ConfigurationCoordinator(self._recorder)
        observe_process(
            self._metrics.meter("process"),
            self._recorder,
            lambda: self._coordinator.version,
        )
        self._roster = Roster()
        self._encapsulation = Encapsulation(
            process.fleet_key, process.accepted_fleet_keys
        )
        self._forwarder = Forwarder(
            TokenReader(process.token_keys), self._roster, RendezvousRanking()
        )
        meter = self._metrics.meter("forwarding")
        self._forwarded = PacketCounter(meter, "forwarded_packets", "service")
        self._dropped = PacketCounter(meter, "dropped_packets")
        self._fleet_socket = FleetSocket(
            self._encapsulation,
            VersionWatch(lambda: self._coordinator.version, self._handle_newer_version),
            self._metrics.meter("returns"),
        )
        self._spread = ProcessSpread(
            process,
            self._coordinator,
            self._roster,
            clock,
            self._recorder,
            MemberRole.BALANCER,
        )
        self._tasks = BackgroundTasks(clock)
        self._control = ControlServer(
            process.control,
            [
                *self._spread.handlers,
                TimelineService(self._recorder),
                StatusService(
                    process.name,
                    process.zone,
                    "balancer",
                    lambda: self._coordinator.version,
                    self._figures,
                ),
            ],
        )

    async def async_run(self, stop: asyncio.Event) -> None:
        """Run until ``stop`` is set."""
        self._recorder.record(EventKind.PROCESS_STARTED)
        self._coordinator.add_listener(self._roster.configure)
        self._coordinator.add_listener(self._forwarder.configure)
        self._coordinator.add_listener(ZoneEvents(self._recorder).configure)
        try:
            async with aiohttp.ClientSession() as session:
                try:
                    await self._async_serve(session, stop)
                finally:
                    await self._tasks.async_stop()
        finally:
            await self._control.async_stop()
            await self._metrics.async_stop()

    async def _async_serve(
        self, session: aiohttp.ClientSession, stop: asyncio.Event
    ) -> None:
        """Start and serve until ``stop`` is set."""
        if await async_run_unless_stopped(self._async_start(session), stop):
            announce_ready(self._settings.process.name)
            await stop.wait()
        self._recorder.record(EventKind.PROCESS_STOPPING)

    async def _async_start(self, session: aiohttp.ClientSession) -> None:
        """Start all parts; returns when packets are forwarded."""
        process = self._settings.process
        await async_open_address(
            "control", process.control, self._control.async_start, self._clock
        )
        if process.metrics is not None:
            await self._metrics.async_start(process.metrics)
        self._tasks.start("spread", lambda: self._spread.async_run(session))
        await self._spread.async_wait_ready()
        check = PeerCheck(self._spread.spreader, self._clock)
        detector = SuspendDetector(self._clock, check, self._recorder)
        self._tasks.start("waking", detector.async_tick)
        await self._async_listen(detector)

    def _figures(self) -> dict[str, float]:
        """Return the figures for the status of the process."""
        return {
            "forwarded": float(sum(self._forwarded.counts.values())),
            "dropped": float(sum(self._dropped.counts.values())),
        }

    def _handle_newer_version(self, version: int, sender: Endpoint) -> None:
        """Fetch a configuration version that this process has missed."""
        _LOGGER.info("Version %d is in force at %s", version, sender)
        self._spread.fetch_announced_version(version, sender)

    async def _async_listen(self, detector: SuspendDetector) -> None:
        """Open the sockets for packets."""
        companion_socket = await self._async_open_socket(
            "packets", self._settings.process.packets, self._fleet_socket, detector
        )
        in_force = await self._coordinator.async_wait_for_first()
        for listen in self._settings.listen:
            if in_force.service(listen.service) is not None:
                await self._async_listen_for_service(listen, companion_socket, detector)
                continue
            self._tasks.start(
                f"listen for {listen.service}",
                functools.partial(
                    self._async_listen_later, listen, companion_socket, detector
                ),
            )

    async def _async_open_socket(
        self,
        field: str,
        endpoint: Endpoint,
        protocol: asyncio.DatagramProtocol,
        detector: SuspendDetector,
    ) -> DatagramSocket:
        """Open the socket of a setting once its address is free."""

        async def async_open() -> DatagramSocket:
            """Try to open the socket."""
            return DatagramSocket(protocol, endpoint.socket_address, detector)

        return await async_open_address(field, endpoint, async_open, self._clock)

    async def _async_listen_for_service(
        self,
        listen: ListenAddress,
        companion_socket: DatagramSocket,
        detector: SuspendDetector,
    ) -> None:
        """Open the socket of one service once the service is published."""
        configuration = await self._coordinator.async_wait_until(
            lambda current: current.service(listen.service) is not None
        )
        service = configuration.service(listen.service)
        assert service is not None
        socket = ServiceSocket(
            service.number,
            self._settings.process.packets,
            self._forwarder,
            self._encapsulation,
            companion_socket.sendto,
            self._forwarded,
            self._dropped,
        )
        await self._async_open_socket("listen", listen.address, socket, detector)
        self._coordinator.add_listener(socket.configure)
        self._fleet_socket.add_service(service.number, socket)

    async def _async_listen_later(
        self,
        listen: ListenAddress,
        companion_socket: DatagramSocket,
        detector: SuspendDetector,
    ) -> None:
        """Wait for a service that is not in the configuration in force."""
        _LOGGER.warning(
            "Service %r is not in the configuration; listening at %s starts when "
            "it is published. Check the name in the settings",
            listen.service,
            listen.address,
        )
        await self._async_listen_for_service(listen, companion_socket, detector)


async def async_run_balancer(settings: BalancerSettings, stop: asyncio.Event) -> None:
    """Run a balancer on the system's clock until ``stop`` is set."""
    await Balancer(settings, SystemClock()).async_run(stop)

"""Assembles the companion from its slices and runs it."""

import asyncio
import contextlib
import random
import secrets

import aiohttp

from pomelotrail_core.clock import Clock, SystemClock
from pomelotrail_core.configuration import (
    BackendServer,
    Configuration,
    ConfigurationCoordinator,
    Service,
)
from pomelotrail_core.logs import get_logger
from pomelotrail_core.membership import Roster
from pomelotrail_core.metrics import Metrics
from pomelotrail_core.peers import ControlServer
from pomelotrail_core.peers.status import StatusService
from pomelotrail_core.process import announce_ready
from pomelotrail_core.routing import Encapsulation, RoutingToken, TokenMint
from pomelotrail_core.spread import ProcessSpread
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.service import TimelineService

from .admission import AdmissionGate
from .backend import BackendClient
from .draining import DrainingState
from .edge import PacketSocket, QuicEdge
from .edge.quic_edge import quic_configuration
from .requests import Dispatcher, RequestHandler
from .settings import CompanionSettings

_LOGGER = get_logger("companion")

_INCARNATION_BITS = 64


class Companion:
    """One companion process."""

    def __init__(self, settings: CompanionSettings, clock: Clock) -> None:
        """Make what does not depend on the configuration."""
        self._settings = settings
        self._clock = clock
        process = settings.process
        self._incarnation = secrets.randbits(_INCARNATION_BITS)
        self._recorder = Recorder(process.name, process.zone, clock)
        self._metrics = Metrics(process.name, process.zone)
        self._coordinator = ConfigurationCoordinator(
            clock, self._recorder, random.Random()
        )
        self._draining = DrainingState(process.name, process.zone, self._recorder)
        self._roster = Roster()
        self._edge: QuicEdge | None = None
        self._spread = ProcessSpread(
            process, self._coordinator, self._roster, clock, self._recorder
        )
        self._control = ControlServer(
            process.control,
            [
                *self._spread.handlers,
                TimelineService(self._recorder),
                StatusService(
                    process.name,
                    process.zone,
                    "companion",
                    lambda: self._coordinator.version,
                    self._figures,
                ),
            ],
        )

    async def async_run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set."""
        process = self._settings.process
        self._recorder.record(EventKind.PROCESS_STARTED)
        self._coordinator.add_listener(self._draining.configure)
        self._coordinator.add_listener(self._roster.configure)
        await self._control.async_start()
        if process.metrics is not None:
            await self._metrics.async_start(process.metrics)
        async with aiohttp.ClientSession(auto_decompress=False) as session:
            following = self._spread.start(session)
            configuration = await self._spread.async_wait_ready()
            await self._async_open_edge(configuration, session)
            announce_ready(process.name)
            await stop.wait()
            await self._async_leave()
            following.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await following
        await self._control.async_stop()
        await self._metrics.async_stop()

    async def _async_open_edge(
        self, configuration: Configuration, session: aiohttp.ClientSession
    ) -> None:
        """Open the caller edge for the service in the settings."""
        process = self._settings.process
        service = configuration.service(self._settings.service)
        server = _own_server(service, process.name)
        if service is None or server is None:
            raise SystemExit(
                f"backend server {process.name!r} is not listed under service "
                f"{self._settings.service!r}; publish it or mend the settings"
            )
        zone = configuration.zone(process.zone)
        assert zone is not None
        packet_socket = PacketSocket(
            service.number,
            server.connections,
            Encapsulation(process.fleet_key),
            self._draining,
            lambda: self._coordinator.version,
            self._recorder,
            self._metrics.meter("edge"),
        )
        token = RoutingToken(
            zone.number, process.packets, service.number, self._incarnation & 0xFFFF
        )
        self._edge = QuicEdge(
            quic_configuration(
                str(self._settings.certificate), str(self._settings.private_key)
            ),
            TokenMint(process.token_keys, token),
            self._handler(server, session),
            packet_socket.return_to_caller,
            lambda: self._roster.packed_balancers,
            self._clock,
            self._recorder,
        )
        packet_socket.attach(self._edge)
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: packet_socket, local_addr=process.packets.socket_address
        )

    def _handler(
        self, server: BackendServer, session: aiohttp.ClientSession
    ) -> RequestHandler:
        """Return the steps that each request passes."""
        backend = BackendClient(self._settings.backend_server, session, self._clock)
        gate = AdmissionGate(server.slots, backend)
        return Dispatcher(
            self._settings.service,
            self._coordinator,
            self._clock,
            self._recorder,
            gate,
        )

    async def _async_leave(self) -> None:
        """Take no more work and close the flows."""
        self._draining.stop()
        self._recorder.record(EventKind.PROCESS_STOPPING)
        if self._edge is not None:
            self._edge.announce_leaving()
            self._edge.close_all()

    def _figures(self) -> dict[str, float]:
        """Return the figures for the status of the process."""
        flows = self._edge.flow_count if self._edge is not None else 0
        return {"flows": float(flows)}


def _own_server(service: Service | None, name: str) -> BackendServer | None:
    """Return the backend server of that name in a service."""
    if service is None:
        return None
    return next((each for each in service.backend_servers if each.name == name), None)


async def async_run_companion(settings: CompanionSettings, stop: asyncio.Event) -> None:
    """Run a companion on the system's clock until ``stop`` is set."""
    await Companion(settings, SystemClock()).async_run(stop)

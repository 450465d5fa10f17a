"""Assembly and main loop of the companion."""

import asyncio
import random
import secrets

import aiohttp
from aioquic.quic.configuration import QuicConfiguration
from result import Err, Ok, Result

from pomelotrail_core.background import BackgroundTasks
from pomelotrail_core.clock import Clock, SystemClock
from pomelotrail_core.configuration import (
    BackendServer,
    Configuration,
    ConfigurationCoordinator,
    Service,
)
from pomelotrail_core.datagrams import DatagramSocket
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import get_logger
from pomelotrail_core.membership import Roster
from pomelotrail_core.membership.role import MemberRole
from pomelotrail_core.metrics import Metric, Metrics, Reading, observe_gauge
from pomelotrail_core.peers import ControlServer
from pomelotrail_core.peers.status import StatusService
from pomelotrail_core.process import announce_ready
from pomelotrail_core.process_spread import ProcessSpread
from pomelotrail_core.routing import RoutingToken
from pomelotrail_core.routing.version_watch import VersionWatch
from pomelotrail_core.settings import SettingsError
from pomelotrail_core.spread import PeerCheck
from pomelotrail_core.starting import (
    StartError,
    async_load_files,
    async_open_address,
    async_run_unless_stopped,
)
from pomelotrail_core.suspend_detection import SuspendDetector
from pomelotrail_core.tickets import Executor, TicketIssuer, TicketSealer
from pomelotrail_core.timeline import EventKind, Recorder
from pomelotrail_core.timeline.metrics import observe_process
from pomelotrail_core.timeline.service import TimelineService

from .admission import (
    AdaptiveLimit,
    AdmissionGate,
    LoadExchangeService,
    Scheduler,
    ShareAdmission,
    TargetOrder,
)
from .admission.limit import ColdEvidence
from .admission.metrics import observe_admission
from .backend import BackendClient, open_backend_session
from .backend.health import HealthWatch, HttpHealth
from .draining import DrainingState
from .draining.orders import call_when_back_in_service
from .draining.shutdown import GracefulShutdown
from .draining.state import ServingState
from .edge.assembly import Edge, EdgeContext, build_edge
from .edge.certificate import load_certificate
from .ledger import GrpcPeers, RelayService, RunOnceComponents, ServicePeers
from .requests import Dispatcher, RequestHandler
from .requests.accounting import RequestAccounting
from .settings import CompanionSettings

_LOGGER = get_logger("companion")

_INCARNATION_BITS = 64


class Companion:
    """The companion process."""

    def __init__(self, settings: CompanionSettings, clock: Clock) -> None:
        """Initialize all parts that don't depend on the configuration."""
        self._settings = settings
        self._clock = clock
        process = settings.process
        self._incarnation = secrets.randbits(_INCARNATION_BITS)
        self._recorder = Recorder(process.name, process.zone, clock)
        self._metrics = Metrics(process.name, process.zone)
        self._coordinator = ConfigurationCoordinator(self._recorder)
        self._accounting = RequestAccounting(self._metrics.meter("requests"))
        self._draining = DrainingState(process.name, process.zone, self._recorder)
        observe_process(
            self._metrics.meter("process"),
            self._recorder,
            lambda: self._coordinator.version,
        )
        self._roster = Roster()
        self._tasks = BackgroundTasks(clock)
        self._edge: Edge | None = None
        self._scheduler: Scheduler | None = None
        observe_gauge(
            self._metrics.meter("edge"),
            Metric("flows", "{flow}", "Open flows"),
            lambda: [Reading(self._flow_count())],
        )
        self._sealer = TicketSealer(process.token_keys)
        self._relay = RelayService(settings.service, self._sealer, clock)
        self._peers = GrpcPeers(settings.service, clock)
        self._once: RunOnceComponents | None = None
        self._spread = ProcessSpread(
            process,
            self._coordinator,
            self._roster,
            clock,
            self._recorder,
            MemberRole.COMPANION,
        )
        self._exchange = LoadExchangeService(
            settings.service, process.packets, clock, random.Random()
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
                self._relay,
                self._exchange,
            ],
        )

    async def async_run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set."""
        self._recorder.record(EventKind.PROCESS_STARTED)
        self._coordinator.add_listener(self._draining.configure)
        self._coordinator.add_listener(self._roster.configure)
        self._coordinator.add_listener(self._exchange.configure)
        try:
            async with (
                aiohttp.ClientSession() as session,
                open_backend_session(is_reusing_connections=True) as reused_session,
                open_backend_session(is_reusing_connections=False) as single_use,
            ):
                backend = BackendClient(
                    self._settings.backend_server,
                    reused_session,
                    self._clock,
                    single_use,
                )
                try:
                    await self._async_serve(session, backend, stop)
                finally:
                    await self._tasks.async_stop()
        finally:
            self._peers.close()
            await self._control.async_stop()
            await self._metrics.async_stop()

    async def _async_serve(
        self,
        session: aiohttp.ClientSession,
        backend: BackendClient,
        stop: asyncio.Event,
    ) -> None:
        """Start, serve until ``stop`` is set, and drain."""
        start = self._async_start(session, backend)
        if await async_run_unless_stopped(start, stop):
            announce_ready(self._settings.process.name)
            await stop.wait()
        await self._async_drain()

    async def _async_start(
        self, session: aiohttp.ClientSession, backend: BackendClient
    ) -> None:
        """Start all parts; returns when callers are served."""
        process = self._settings.process
        await async_open_address(
            "control", process.control, self._control.async_start, self._clock
        )
        if process.metrics is not None:
            await self._metrics.async_start(process.metrics)
        self._tasks.start("spread", lambda: self._spread.async_run(session))
        await self._spread.async_wait_ready()
        configuration = await self._async_wait_listed()
        handler = self._build_handler(configuration, backend)
        check = PeerCheck(self._spread.spreader, self._clock)
        detector = SuspendDetector(self._clock, check, self._recorder)
        self._tasks.start("waking", detector.async_tick)
        self._tasks.start("load exchange", self._exchange.async_run)
        self._tasks.start("health", lambda: self._async_watch_health(session))
        await self._async_open_edge(configuration, handler, detector)

    async def _async_wait_listed(self) -> Configuration:
        """Wait until the configuration lists the backend server and zone of this VM."""
        process, service = self._settings.process, self._settings.service

        def is_listed(current: Configuration) -> bool:
            """Return whether a configuration has all that this process refers to."""
            is_server_listed = _is_listed(current, service, process.name)
            return is_server_listed and current.zone(process.zone) is not None

        if not is_listed(await self._coordinator.async_wait_for_first()):
            _LOGGER.warning(
                "Backend server %r is not listed under service %r, or zone %r is not "
                "listed; waiting until both are published. Check name, service and "
                "zone in the settings",
                process.name,
                service,
                process.zone,
            )
        return await self._coordinator.async_wait_until(is_listed)

    async def _async_open_edge(
        self,
        configuration: Configuration,
        handler: RequestHandler,
        detector: SuspendDetector,
    ) -> None:
        """Open the caller edge for the service in the settings."""
        process = self._settings.process
        service = configuration.service(self._settings.service)
        server = _find_server(service, process.name)
        zone = configuration.zone(process.zone)
        assert service is not None
        assert server is not None
        assert zone is not None
        assert self._scheduler is not None
        admission = ShareAdmission(
            server.connections, self._scheduler.limit, self._exchange.loads
        )
        self._exchange.attach(lambda: admission.load(self._flow_count()))
        token = RoutingToken(
            zone.number, process.packets, service.number, self._incarnation & 0xFFFF
        )
        edge = build_edge(
            EdgeContext(
                process=process,
                token=token,
                quic=await self._async_load_certificate(),
                handler=handler,
                admission=admission,
                draining=self._draining,
                roster=self._roster,
                own_version=lambda: self._coordinator.version,
                versions=VersionWatch(
                    lambda: self._coordinator.version, self._handle_newer_version
                ),
                clock=self._clock,
                recorder=self._recorder,
                meter=self._metrics.meter("edge"),
            )
        )

        async def async_open() -> None:
            """Try to open the packet socket."""
            DatagramSocket(edge.packets, process.packets.socket_address, detector)

        await async_open_address("packets", process.packets, async_open, self._clock)
        self._edge = edge

    async def _async_load_certificate(self) -> QuicConfiguration:
        """Return the QUIC settings once the certificate's files are usable."""
        files = (self._settings.certificate, self._settings.private_key)

        async def async_load() -> Result[QuicConfiguration, SettingsError]:
            """Try to load the files."""
            return load_certificate(*files)

        match await async_load_files(files, async_load, self._clock):
            case Ok(loaded):
                return loaded
            case Err(error):
                raise StartError("certificate", str(error), "replace the files")

    async def _async_watch_health(self, session: aiohttp.ClientSession) -> None:
        """Watch the backend server's health check for cold starts, if configured."""
        path, scheduler = self._settings.health_path, self._scheduler
        if path is None or scheduler is None:
            return
        health = HttpHealth(f"http://{self._settings.backend_server}{path}", session)
        watch = HealthWatch(
            health,
            self._clock,
            lambda: scheduler.handle_evidence(ColdEvidence.REPORTED),
        )
        await watch.async_run()

    def _handle_newer_version(self, version: int, sender: Endpoint) -> None:
        """Fetch a newer version that a peer announced."""
        _LOGGER.info("Version %d is in force at %s", version, sender)
        self._spread.fetch_announced_version(version, sender)

    def _build_handler(
        self, configuration: Configuration, backend: BackendClient
    ) -> RequestHandler:
        """Return the chain of handlers for requests."""
        service = configuration.service(self._settings.service)
        server = _find_server(service, self._settings.process.name)
        assert service is not None
        assert server is not None
        limit = AdaptiveLimit(server.slots, self._clock, self._recorder)
        self._scheduler = scheduler = Scheduler(limit, TargetOrder(), self._clock)
        observe_admission(self._metrics.meter("admission"), scheduler)
        call_when_back_in_service(
            self._draining, lambda: scheduler.handle_evidence(ColdEvidence.RETURNED)
        )
        gate = AdmissionGate(self._scheduler, backend, self._clock, random.Random())
        control = self._settings.process.control
        executor = Executor(control, self._incarnation, service.number)
        issuer = TicketIssuer(executor, self._sealer, self._clock)
        self._once = RunOnceComponents.build(
            issuer,
            self._sealer,
            self._peers,
            ServicePeers(service.name, control, self._coordinator, random.Random()),
            lambda: self._draining.state is ServingState.LEAVING,
            gate,
            self._clock,
            self._recorder,
        )
        dispatcher = Dispatcher(
            service.name,
            self._coordinator,
            self._clock,
            self._recorder,
            self._once.handler,
            self._accounting,
        )
        self._relay.attach(dispatcher, self._once.resolver, issuer)
        return dispatcher

    async def _async_drain(self) -> None:
        """Shut down gracefully, after the running requests have ended."""
        if self._edge is None:
            return
        shutdown = GracefulShutdown(
            self._edge.flows,
            self._draining,
            self._clock,
            self._recorder,
            self._settings.drain_limit,
        )
        await shutdown.async_run()
        if self._once is not None:
            await self._once.executions.async_wait_until_idle()

    def _flow_count(self) -> int:
        """Return the number of open flows."""
        return self._edge.flows.flow_count if self._edge is not None else 0

    def _figures(self) -> dict[str, float]:
        """Return the figures of the process status."""
        admission = {} if self._scheduler is None else self._scheduler.figures()
        edge = {} if self._edge is None else self._edge.figures
        return {**edge, **self._accounting.figures, **admission}


def _is_listed(configuration: Configuration, service: str, name: str) -> bool:
    """Return whether a service lists a backend server of that name."""
    return _find_server(configuration.service(service), name) is not None


def _find_server(service: Service | None, name: str) -> BackendServer | None:
    """Return the backend server of that name in a service."""
    if service is None:
        return None
    return next(
        (server for server in service.backend_servers if server.name == name), None
    )


async def async_run_companion(settings: CompanionSettings, stop: asyncio.Event) -> None:
    """Run a companion with the system clock until ``stop`` is set."""
    await Companion(settings, SystemClock()).async_run(stop)

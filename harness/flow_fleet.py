"""A fleet of flow balancers and server proxies over a network in memory.

Everything runs on the virtual event loop: delays take no real time, and equal
seeds give equal runs::

    fleet = FlowFleet(balancers=2, servers=3)
    answer = await fleet.caller().async_open_and_request(b"request")
"""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from result import Err, Ok, Result

from harness.virtual_time import VirtualClock
from pomelotrail_balancer.flow_balancing import FlowBalancer
from pomelotrail_balancer.placement import Companions, PlacementBySlots
from pomelotrail_companion.server_proxy import ServerProxy, ServerProxyAddresses
from pomelotrail_core.counters import Counters
from pomelotrail_core.datagram_callback import Address
from pomelotrail_core.directory import (
    BackendServer,
    CompletenessCheck,
    ConfigurationItem,
    Directory,
    DirectorySource,
    Listing,
    PublishedConfiguration,
    Revision,
    Route,
    ServerItem,
    ServerState,
    ServiceSettings,
    ServiceShare,
    SourceError,
    SourceProblem,
)
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.event_log import EventLog, LogWriter
from stand_ins.flows import (
    CODEC,
    CallerHost,
    MemoryNetwork,
    StandInCaller,
    StandInServer,
)

PACKETS_PORT: Final = 4000
FLEET_PORT: Final = 4001
SERVER_PORT: Final = 4002
FROM_SERVER_PORT: Final = 4003
SERVICE: Final = "stock-ledger"
SERVICE_ADDRESS: Final = ("198.51.100.1", 443)
ROUTE_TIMEOUT: Final = timedelta(seconds=4)
FIRST_REVISION: Final = Revision(era=1, number=100)
ENTRY_LIFETIME: Final = timedelta(seconds=3.6)
MAX_FLOW_DURATION: Final = timedelta(seconds=60)
CALLERS_HOST: Final = "203.0.113.9"


def later(revision: Revision, count: int = 1) -> Revision:
    """Return the revision some changes later in the same era."""
    return Revision(revision.era, revision.number + count)


class MemoryLogWriter(LogWriter):
    """Stores log lines in memory."""

    def __init__(self) -> None:
        """Start with no lines."""
        self.content = b""

    def write(self, lines: bytes) -> int:
        """Append lines."""
        self.content += lines
        return len(lines)


class FakeDirectorySource(DirectorySource):
    """Fake source that returns a revision, or an error while unreachable."""

    def __init__(self) -> None:
        """Start at the revision of the fleet's listing."""
        self.revision = FIRST_REVISION
        self.is_reachable = True

    async def async_list(self, timeout: timedelta) -> Result[Listing, SourceError]:
        """Not supported by this fake."""
        raise NotImplementedError

    async def async_changes(
        self, after: Revision, wait: timedelta, timeout: timedelta
    ) -> Result[Listing, SourceError]:
        """Not supported by this fake."""
        raise NotImplementedError

    async def async_revision(self, timeout: timedelta) -> Result[Revision, SourceError]:
        """Return the revision."""
        if not self.is_reachable:
            return Err(SourceError(SourceProblem.UNREACHABLE, "cut"))
        return Ok(self.revision)


class FlowFleet:
    """Balancers and companions of one service, with their stand-ins."""

    def __init__(
        self,
        balancers: int = 1,
        servers: int = 3,
        slots: int = 4,
        cold_flows_per_s: float | None = None,
        max_flow_duration: timedelta = MAX_FLOW_DURATION,
    ) -> None:
        """Start all balancers, companions and servers in one availability zone."""
        self.network = MemoryNetwork()
        self.clock = VirtualClock()
        self.lines = MemoryLogWriter()
        self.log = EventLog("test", self.clock, self.lines)
        self.counters = Counters()
        self.slots = slots
        self.cold_flows_per_s = cold_flows_per_s
        self.max_flow_duration = max_flow_duration
        self.cold_hosts: set[str] = set()
        self.started_ms: dict[str, int] = {}
        self.servers = {
            host: StandInServer(
                self.network, (host, SERVER_PORT), (host, FROM_SERVER_PORT), SERVICE
            )
            for host in (f"192.0.2.{index + 1}" for index in range(servers))
        }
        self.proxies = {host: self.start_companion(host, True) for host in self.servers}
        self.source = FakeDirectorySource()
        self.on_refresh_requested: Callable[[Directory], None] = lambda directory: None
        self.callers = CallerHost(
            self.network, (CALLERS_HOST, PACKETS_PORT), self.balancer_address
        )
        self._tasks: list[asyncio.Task] = []
        self._balancers: dict[str, FlowBalancer] = {}
        self._directories: dict[str, Directory] = {}
        self._companions: dict[str, Companions] = {}
        for index in range(balancers):
            self.start_balancer(f"192.0.2.{100 + index}")
        self._current_balancer = next(iter(self._balancers))

    @property
    def balancer_names(self) -> list[str]:
        """Return the hosts of the balancers."""
        return list(self._balancers)

    def start_balancer(self, host: str, is_listed: bool = True) -> None:
        """Start a balancer with an empty table, or replace one.

        Unless ``is_listed``, its directory is empty until ``directory().replace``.
        """
        directory = Directory(
            self.clock, self.log, self.counters, ENTRY_LIFETIME, self.max_flow_duration
        )
        if is_listed:
            directory.replace(self.listing())
        check = CompletenessCheck(
            self.source,
            directory,
            self.clock,
            lambda: self.on_refresh_requested(directory),
        )
        companions = Companions(directory, "zone-1", PACKETS_PORT, FLEET_PORT)
        balancer = FlowBalancer(
            directory,
            check,
            companions,
            PlacementBySlots("zone-1", random.Random(1)),
            CODEC,
            self.clock,
            self.log,
            self.counters,
            (host, FLEET_PORT),
            PACKETS_PORT,
            1_000.0,
            self.network.sender((host, PACKETS_PORT)),
            self.network.sender((host, FLEET_PORT)),
        )
        self.network.listen((host, PACKETS_PORT), balancer.receive_packet)
        self.network.listen((host, FLEET_PORT), balancer.receive_message)
        early = asyncio.create_task(balancer.async_serve_early_packets())
        self._tasks.append(early)
        self._balancers[host] = balancer
        self._directories[host] = directory
        self._companions[host] = companions
        self._current_balancer = host

    def start_companion(self, host: str, is_first_start: bool = False) -> ServerProxy:
        """Start the companion of a backend server, or replace it."""
        proxy = ServerProxy(
            self.servers[host].service,
            ServerProxyAddresses((host, SERVER_PORT), FLEET_PORT, PACKETS_PORT),
            is_first_start,
            self.max_flow_duration,
            CODEC,
            self.clock,
            self.log,
            self.counters,
            self.network.sender((host, PACKETS_PORT)),
            self.network.sender((host, FLEET_PORT)),
            self.network.sender((host, FROM_SERVER_PORT)),
            learns_speed=True,
        )
        self.network.listen((host, PACKETS_PORT), proxy.receive_packet)
        self.network.listen((host, FLEET_PORT), proxy.receive_message)
        self.network.listen((host, FROM_SERVER_PORT), proxy.receive_from_server)
        return proxy

    def stop_companion(self, host: str) -> None:
        """Kill the companion; the backend server keeps running."""
        server = self.servers[host]
        self.network.remove_host(host)
        self.network.listen((host, SERVER_PORT), server.receive)

    def restart_companions(self, with_servers: bool = False) -> None:
        """Restart all companions; ``with_servers``, their servers lose their flows."""
        for host, server in self.servers.items():
            if with_servers:
                server.crash()
            self.stop_companion(host)
            self.start_companion(host)

    def move_to_service(self, host: str, service: str) -> None:
        """Let a backend server belong to another service, and restart its companion."""
        self.servers[host].service = service
        self.stop_companion(host)
        self.proxies[host] = self.start_companion(host, True)

    def listing(
        self,
        version: int = 1,
        shares: tuple[ServiceShare, ...] = (ServiceShare(SERVICE),),
    ) -> Listing:
        """Return the store's listing, with a route to the services of ``shares``."""
        route = Route(
            "board",
            Endpoint(*SERVICE_ADDRESS),
            shares,
            ROUTE_TIMEOUT,
            timedelta(milliseconds=250),
            1,
            True,
        )
        configuration = PublishedConfiguration(
            version,
            {route.endpoint.pack(): route},
            {SERVICE: ServiceSettings(SERVICE, self.cold_flows_per_s)},
        )
        servers = [
            ServerItem(self.server_entry(host, Revision(FIRST_REVISION.era, number)))
            for number, host in enumerate(self.servers, 2)
        ]
        return Listing((ConfigurationItem(configuration), *servers), FIRST_REVISION)

    def server_entry(self, host: str, revision: Revision) -> BackendServer:
        """Return the directory entry of a backend server."""
        service = self.servers[host].service
        name = "server" if service == SERVICE else service
        return BackendServer(
            identity=f"{name}-{host}",
            service=service,
            endpoint=Endpoint(host, SERVER_PORT),
            zone="zone-1",
            slots=self.slots,
            state=ServerState.READY,
            cold_for=timedelta(seconds=2 if host in self.cold_hosts else 0),
            revision=revision,
            started_ms=self.started_ms.get(host, 0),
        )

    def balancer(self) -> FlowBalancer:
        """Return the balancer that receives callers' packets."""
        return self._balancers[self._current_balancer]

    def directory(self) -> Directory:
        """Return the directory of the balancer that receives callers' packets."""
        return self._directories[self._current_balancer]

    def companions(self) -> Companions:
        """Return what the balancer that receives callers' packets knows of them."""
        return self._companions[self._current_balancer]

    def balancer_address(self) -> Address:
        """Return the address of the balancer that receives callers' packets."""
        return (self._current_balancer, PACKETS_PORT)

    def use_balancer(self, index: int) -> None:
        """Send callers' packets to another balancer."""
        self._current_balancer = list(self._balancers)[index]

    def caller(self) -> StandInCaller:
        """Return a new caller with its own flow."""
        return self.callers.caller(SERVICE_ADDRESS)

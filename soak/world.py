"""A fleet of real processes, its stand-ins, and what can be done to it."""

import asyncio
import random
import signal
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

import attrs

from stand_ins.flows import CallerHost, LoopbackNetwork
from stand_ins.platform_fleet import (
    RoleProcess,
    async_wait_ready,
    free_ports,
    write_settings,
)
from stand_ins.platform_store import PlatformStore, PublishedRoute, Publisher

from .const import (
    COLD_PER_S,
    COLD_TIME_S,
    HOST,
    MOVING_PORT,
    PORTS,
    SERVICES,
    SLOTS,
    SPARE_SERVERS,
    WORK_S,
)
from .ends import SoakCaller, SoakServer
from .links import CompanionLink, StoreLink
from .schedule import zone_of

_ROUTER_NOTICE_S = 1.0
_RESTART_DELAY_S = 0.3
# Each pair of a balancer and a companion takes two sockets of the soak.
_MOST_BALANCERS = 16


@attrs.define(eq=False)
class Side:
    """A VM with a backend server and its companion."""

    index: int
    process: RoleProcess
    server: SoakServer
    link: CompanionLink
    near: str
    identity: str = ""
    started_ms: int = 0
    cold_since: float | None = None
    is_leaving: bool = False

    @property
    def zone(self) -> str:
        """Return the availability zone."""
        return zone_of(self.index)


@attrs.define(eq=False)
class Entry:
    """A VM with a balancer."""

    process: RoleProcess
    store: StoreLink
    usable_from: float = 0.0
    usable_until: float | None = None


class World:
    """Everything of one run, on loopback addresses of its own."""

    def __init__(
        self, network: int, folder: Path, seed: int, processes: int, prelude: str
    ) -> None:
        """Describe a fleet; a third of its processes are balancers, 16 at most."""
        self.random = random.Random(seed)
        self.store = PlatformStore()
        self.publisher = Publisher(self.store)
        self.version = 0
        self.moving = SERVICES[0]
        self.zones_out: dict[str, float] = {}
        self.entries: list[Entry] = []
        self.sides: list[Side] = []
        self._spares: list[Side] = []
        self._prefix = f"127.{network}"
        self._folder = folder
        self._prelude = prelude
        self._balancers = min(_MOST_BALANCERS, max(2, processes // 3))
        self._companions = max(4, processes - self._balancers)
        self._network = LoopbackNetwork()
        self._names = iter(range(1_000_000))
        self.ports = free_ports(f"{self._prefix}.2.1")
        self._servers: list[asyncio.Server] = []
        self._restarts: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._callers: CallerHost | None = None

    @property
    def now(self) -> float:
        """Return the time of the running loop."""
        return asyncio.get_running_loop().time()

    @property
    def processes(self) -> list[RoleProcess]:
        """Return all processes of the roles."""
        everybody = (*self.entries, *self.sides, *self._spares)
        return [each.process for each in everybody]

    async def async_start(self) -> None:
        """Start everything and wait until it serves."""
        await self.store.async_start()
        for index in range(self._balancers):
            await self._async_add_entry(index)
        for index in range(self._companions + SPARE_SERVERS):
            await self._async_add_side(index)
        self._spares = self.sides[self._companions :]
        del self.sides[self._companions :]
        self.publish()
        for each in self.sides:
            self.start_server(each)
        await asyncio.gather(*(each.async_start() for each in self.processes))
        for each in self.processes:
            await async_wait_ready(each, self.ports.ready)
        address = (f"{self._prefix}.3.1", self.ports.packets)
        self._callers = CallerHost(self._network, address, self._pick_entry)

    async def async_stop(self) -> None:
        """End all processes that this world started, by their ids."""
        for each in self.processes:
            if each.is_running:
                each.send_signal(signal.SIGCONT)
            await each.async_stop(signal.SIGKILL)
        for side in (*self.sides, *self._spares):
            side.link.close()
        for entry in self.entries:
            await entry.store.async_stop()
        for server in self._servers:
            server.close()
        await self.store.async_stop()
        self._network.close()

    def caller(self, port: int) -> SoakCaller:
        """Return a caller with a flow of its own."""
        stand_in = self._callers.caller((HOST, port))
        host = (f"{self._prefix}.3.1", int.from_bytes(stand_in.packed_address[4:]))
        return SoakCaller(self._callers, host, (HOST, port))

    def publish(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        routes = [PublishedRoute(name, HOST, PORTS[name], name) for name in SERVICES]
        routes.append(PublishedRoute("moving", HOST, MOVING_PORT, self.moving))
        self.publisher.configuration(self.version, routes, COLD_PER_S)

    def start_server(self, side: Side, is_cold: bool = False) -> None:
        """Let a backend server start under a new identity, without flows."""
        if side.identity:
            self.publisher.remove_server(side.identity)
        side.identity = f"server-{next(self._names)}"
        side.server.crash()
        side.started_ms = int(time.time() * 1000)
        side.is_leaving = False
        side.cold_since = self.now if is_cold else None
        self._write_entry(side, int(COLD_TIME_S * 1000) if is_cold else 0)

    def add_server(self) -> None:
        """Let a backend server register that nobody knows, if there is one left."""
        if self._spares:
            self.sides.append(self._spares.pop())
            self.start_server(self.sides[-1])

    def drain(self, side: Side) -> None:
        """Let a backend server say that it leaves."""
        side.is_leaving = True
        self._write_entry(side, 0)

    async def async_restart(
        self,
        process: RoleProcess,
        number: signal.Signals,
        while_down: Callable[[], None] = lambda: None,
    ) -> None:
        """End a process by a signal and start it again, as the platform does."""
        # Restarts that overlap would start two processes at one address.
        async with self._restarts[process.name]:
            await self._async_restart(process, number, while_down)

    async def async_reuse_address(self, side: Side, service: str) -> None:
        """Give the VM of a backend server that crashed to another service.

        Its companion ends with the server: what that one had delivered belongs to
        the earlier service.
        """

        def take_over() -> None:
            """Start the next server at the address."""
            side.server.service = service
            self._write_settings(side)
            self.start_server(side)

        side.server.crash()
        await self.async_restart(side.process, signal.SIGKILL, take_over)

    def holds(self, flow: bytes, expected: int) -> bool:
        """Tell whether some backend server holds a caller's flow."""
        return any(each.server.holds_flow(flow, expected) for each in self.sides)

    async def _async_restart(
        self,
        process: RoleProcess,
        number: signal.Signals,
        while_down: Callable[[], None],
    ) -> None:
        """End a process, and start it after the platform's short delay."""
        entry = next((each for each in self.entries if each.process is process), None)
        if entry is not None:
            is_polite = number is signal.SIGTERM
            entry.usable_until = self.now + (_ROUTER_NOTICE_S if is_polite else 0)
        if process.is_running:
            process.send_signal(signal.SIGCONT)
        await process.async_stop(number)
        await asyncio.sleep(_RESTART_DELAY_S)
        while_down()
        await process.async_start()
        if entry is not None:
            entry.usable_from, entry.usable_until = self.now + _ROUTER_NOTICE_S, None

    def _pick_entry(self) -> tuple[str, int]:
        """Return any balancer that the routers use, for each packet anew."""
        now = self.now
        usable = [
            each
            for each in self.entries
            if each.usable_from <= now
            and (each.usable_until is None or now < each.usable_until)
        ]
        chosen = self.random.choice(usable or self.entries)
        return (chosen.process.host, self.ports.packets)

    async def _async_add_entry(self, index: int) -> None:
        """Add a balancer with its link to the store."""
        host = f"{self._prefix}.1.{index + 1}"
        process = RoleProcess(
            "balancer", f"entry-{index}", host, self._folder, self._prelude
        )
        link = StoreLink(self.store.port)
        await link.async_start()
        write_settings(process, self.ports, link.port, zone=zone_of(index))
        self.entries.append(Entry(process, link))

    async def _async_add_side(self, index: int) -> None:
        """Add a backend server with its companion and its links."""
        host = f"{self._prefix}.2.{index + 1}"
        near = f"{self._prefix}.4.{index + 1}"
        process = RoleProcess(
            "companion", f"side-{index}", host, self._folder, self._prelude
        )
        app = (host, self.ports.server)
        back = (host, self.ports.from_server)
        service = SERVICES[index % len(SERVICES)]
        server = SoakServer(self._network, app, back, service, WORK_S)
        self._servers.append(await asyncio.start_server(_close, *app))
        far = {
            entry.process.host: f"{self._prefix}.{10 + number}.{index + 1}"
            for number, entry in enumerate(self.entries)
        }
        ports = (self.ports.packets, self.ports.fleet)
        link = CompanionLink(near, host, far, ports, self.random)
        side = Side(index, process, server, link, near)
        self.sides.append(side)
        self._write_settings(side)

    def _write_settings(self, side: Side) -> None:
        """Write the settings of a companion."""
        write_settings(
            side.process,
            self.ports,
            self.store.port,
            service=side.server.service,
            zone=side.zone,
        )

    def _write_entry(self, side: Side, cold_ms: int) -> None:
        """Write the entry of a backend server."""
        self.publisher.server(
            side.identity,
            side.server.service,
            f"{side.near}:{self.ports.server}",
            side.zone,
            SLOTS,
            side.started_ms,
            cold_ms,
            side.is_leaving,
        )


def _close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept a connection, which shows that a server lives."""
    writer.close()

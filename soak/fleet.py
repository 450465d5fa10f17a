"""A fleet of real processes with stand-ins for the systems around it."""

import asyncio
import random
import signal
import socket
import time
from collections import defaultdict
from collections.abc import Callable
from pathlib import Path

from stand_ins.flows import CallerHost, LoopbackNetwork
from stand_ins.linked_release import link_release
from stand_ins.loopback_networks import ClaimedNetwork
from stand_ins.platform_fleet import async_wait_ready, free_ports, write_settings
from stand_ins.platform_store import PlatformStore, PublishedRoute, Publisher

from .const import (
    BURST_REQUEST_DURATION_S,
    CLOCK_ERROR_MS,
    COLD_DURATION_S,
    COLD_FLOWS_PER_S,
    END_RESTART_DELAY_S,
    MOVING_PORT,
    ORDINARY_PRIORITY,
    PORTS,
    REQUEST_DURATION_S,
    SERVICE_ADDRESS,
    SERVICES,
    SLOTS_PER_SERVER,
    SPARE_SERVERS,
    URGENT_PRIORITY,
)
from .endpoints import SoakCaller, SoakServer
from .links import CompanionLink, StoreLink
from .processes import ProcessEnd, SoakProcess, catch_hangups
from .schedule import get_zone
from .vms import BackendVM, BalancerVM

_ROUTER_UPDATE_DELAY_S = 1.0
_RESTART_DELAY_S = 0.3
# Each pair of a balancer and a companion needs two sockets in the soak process.
_MAX_BALANCERS = 16


class SoakFleet:
    """Processes, store, servers and callers of one run, on loopback."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        processes: int,
        prelude: str,
        launcher: Path | None = None,
        has_bursts: bool = False,
    ) -> None:
        """Initialize; a third of the processes are balancers, 16 at most.

        The checkout runs unless the launcher of a build is given. With bursts, servers
        have one slot, and the moving route has a lower priority than the others.
        """
        self.random = random.Random(seed)
        self._clock_errors = random.Random(seed)
        self.store = PlatformStore()
        self.publisher = Publisher(self.store)
        self.version = 0
        self.has_bursts = has_bursts
        self._slots = 1 if has_bursts else SLOTS_PER_SERVER
        self.moving_route_service = SERVICES[0]
        self.zones_out: dict[str, float] = {}
        self.balancer_vms: list[BalancerVM] = []
        self.backend_vms: list[BackendVM] = []
        self._spare_backend_vms: list[BackendVM] = []
        self._addresses = ClaimedNetwork()
        self._prefix = self._addresses.prefix
        self._folder = folder
        self._prelude = prelude
        self._balancer_count = min(_MAX_BALANCERS, max(2, processes // 3))
        self._companion_count = max(4, processes - self._balancer_count)
        self._network = LoopbackNetwork()
        self._server_numbers = iter(range(1_000_000))
        self.ports = free_ports(f"{self._prefix}.2.1")
        self.bad_ends: list[str] = []
        # Sockets of other programs, and processes whose metrics address one has.
        self.holders: list[socket.socket] = []
        self.without_metrics: set[str] = set()
        self._servers: list[asyncio.Server] = []
        self._launcher = launcher or link_release(folder / "target")
        self._is_stopping = False
        self._restarts: set[asyncio.Task] = set()
        self._restart_locks: defaultdict[str, asyncio.Lock] = defaultdict(asyncio.Lock)
        self._caller_host: CallerHost | None = None

    @property
    def now(self) -> float:
        """Return the time of the running loop."""
        return asyncio.get_running_loop().time()

    @property
    def processes(self) -> list[SoakProcess]:
        """Return all processes of the roles."""
        vms = (*self.balancer_vms, *self.backend_vms, *self._spare_backend_vms)
        return [each.process for each in vms]

    async def async_start(self) -> None:
        """Start all processes and wait until they are ready."""
        catch_hangups()
        await self.store.async_start()
        for index in range(self._balancer_count):
            await self._async_add_balancer_vm(index)
        for index in range(self._companion_count + SPARE_SERVERS):
            await self._async_add_backend_vm(index)
        self._spare_backend_vms = self.backend_vms[self._companion_count :]
        del self.backend_vms[self._companion_count :]
        self.publish()
        for each in self.backend_vms:
            self.start_server(each)
        for each in self.processes:
            each.pipe.resume()
        await asyncio.gather(*(each.async_start() for each in self.processes))
        for each in self.processes:
            await async_wait_ready(each, self.ports.ready)
        address = (f"{self._prefix}.3.1", self.ports.packets)
        self._caller_host = CallerHost(self._network, address, self._pick_balancer)

    async def async_stop(self) -> None:
        """Stop all processes that this fleet started, by their ids."""
        self._is_stopping = True
        for task in self._restarts:
            task.cancel()
        for each in self.processes:
            each.send_to_running(signal.SIGCONT)
            await each.async_stop(signal.SIGKILL)
            each.pipe.close()
        for holder in self.holders:
            holder.close()
        for vm in (*self.backend_vms, *self._spare_backend_vms):
            vm.link.close()
        for balancer_vm in self.balancer_vms:
            await balancer_vm.store.async_stop()
        for server in self._servers:
            server.close()
        await self.store.async_stop()
        self._network.close()
        self._addresses.release()

    def create_caller(self, port: int) -> SoakCaller:
        """Return a new caller, which opens its own flow."""
        stand_in = self._caller_host.caller((SERVICE_ADDRESS, port))
        host = (f"{self._prefix}.3.1", int.from_bytes(stand_in.packed_address[4:]))
        return SoakCaller(self._caller_host, host, (SERVICE_ADDRESS, port))

    def publish(self) -> None:
        """Publish the next version of the configuration."""
        self.version += 1
        priority = URGENT_PRIORITY if self.has_bursts else ORDINARY_PRIORITY
        routes = [
            PublishedRoute(name, SERVICE_ADDRESS, PORTS[name], name, priority)
            for name in SERVICES
        ]
        routes.append(
            PublishedRoute(
                "moving",
                SERVICE_ADDRESS,
                MOVING_PORT,
                self.moving_route_service,
                ORDINARY_PRIORITY,
            )
        )
        self.publisher.configuration(self.version, routes, COLD_FLOWS_PER_S)

    def publish_foreign_entry(self, identity: str, vm: BackendVM) -> None:
        """Publish an entry for a VM whose service no configuration names."""
        self.publisher.server(
            identity,
            "inventory",
            f"{vm.link_address}:{self.ports.server}",
            vm.zone,
            SLOTS_PER_SERVER,
            vm.started_ms,
        )

    def start_server(self, vm: BackendVM, is_cold: bool = False) -> None:
        """Start a backend server under a new ID, without flows."""
        if vm.server_id:
            self.publisher.remove_server(vm.server_id)
        vm.server_id = f"server-{next(self._server_numbers)}"
        vm.server.crash()
        vm.started_ms = int(time.time() * 1000)
        vm.started_ms += self._clock_errors.randint(-CLOCK_ERROR_MS, CLOCK_ERROR_MS)
        vm.is_draining = False
        vm.cold_since = self.now if is_cold else None
        self._publish_server(vm, int(COLD_DURATION_S * 1000) if is_cold else 0)

    def add_server(self) -> None:
        """Register a spare backend server, if one is left."""
        if self._spare_backend_vms:
            self.backend_vms.append(self._spare_backend_vms.pop())
            self.start_server(self.backend_vms[-1])

    def drain(self, vm: BackendVM) -> None:
        """Publish that a backend server is draining."""
        vm.is_draining = True
        self._publish_server(vm, 0)

    async def async_restart(
        self,
        process: SoakProcess,
        number: signal.Signals,
        while_down: Callable[[], None] = lambda: None,
        repeats: int = 0,
    ) -> None:
        """Stop a process by a signal and start it again, as the platform does."""
        # Concurrent restarts would start two processes at the same address.
        async with self._restart_locks[process.name]:
            await self._async_restart(process, number, while_down, repeats)

    async def async_reuse_address(self, vm: BackendVM, service: str) -> None:
        """Reassign the VM of a crashed backend server to another service.

        Its companion is killed first: packets that it has delivered belong to the
        earlier service.
        """

        def start_successor() -> None:
            """Start a server of the other service at the address."""
            vm.server.service = service
            self.write_settings(vm.process)
            self.start_server(vm)

        vm.server.crash()
        await self.async_restart(vm.process, signal.SIGKILL, start_successor)

    def write_settings(self, process: SoakProcess) -> None:
        """Write the settings of a process that hold now."""
        balancer_vm = self._find_balancer_vm(process)
        if balancer_vm is not None:
            zone = get_zone(self.balancer_vms.index(balancer_vm))
            write_settings(process, self.ports, balancer_vm.store.port, zone=zone)
            return
        vms = (*self.backend_vms, *self._spare_backend_vms)
        vm = next(each for each in vms if each.process is process)
        write_settings(
            process,
            self.ports,
            self.store.port,
            service=vm.server.service,
            zone=vm.zone,
        )

    def has_flow(self, flow: bytes, expected_sequence: int) -> bool:
        """Return whether a backend server has the flow of a caller."""
        return any(
            each.server.has_flow(flow, expected_sequence) for each in self.backend_vms
        )

    async def _async_restart(
        self,
        process: SoakProcess,
        number: signal.Signals,
        while_down: Callable[[], None],
        repeats: int,
    ) -> None:
        """Stop a process, and start it after the restart delay of the platform."""
        balancer_vm = self._find_balancer_vm(process)
        if balancer_vm is not None:
            is_graceful = number is signal.SIGTERM
            balancer_vm.usable_until = self.now + (
                _ROUTER_UPDATE_DELAY_S if is_graceful else 0
            )
        process.send_to_running(signal.SIGCONT)
        await process.async_stop(number, repeats)
        await asyncio.sleep(_RESTART_DELAY_S)
        while_down()
        await self._async_start_again(process)

    async def _async_start_again(self, process: SoakProcess) -> None:
        """Start a process; routers use it again after their delay."""
        await process.async_start()
        balancer_vm = self._find_balancer_vm(process)
        if balancer_vm is not None:
            balancer_vm.usable_from, balancer_vm.usable_until = (
                self.now + _ROUTER_UPDATE_DELAY_S,
                None,
            )

    def _handle_end(self, process: SoakProcess, end: ProcessEnd) -> None:
        """Record an end that is wrong; restart a process that ended by itself."""
        if end.problem:
            self.bad_ends.append(f"{self.now:.2f} {process.name} {end.problem}")
        if end.told is not None or self._is_stopping:
            return
        balancer_vm = self._find_balancer_vm(process)
        if balancer_vm is not None:
            balancer_vm.usable_until = self.now
        task = asyncio.create_task(self._async_restart_ended(process))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _async_restart_ended(self, process: SoakProcess) -> None:
        """Start a process that ended by itself, unless a fault did so meanwhile."""
        await asyncio.sleep(END_RESTART_DELAY_S)
        async with self._restart_locks[process.name]:
            if not process.is_running:
                await self._async_start_again(process)

    def _find_balancer_vm(self, process: SoakProcess) -> BalancerVM | None:
        """Return the VM of a process if it is a balancer."""
        return next((x for x in self.balancer_vms if x.process is process), None)

    def _pick_balancer(self) -> tuple[str, int]:
        """Return a random balancer in use by the routers; called for each packet."""
        now = self.now
        usable = [
            each
            for each in self.balancer_vms
            if each.usable_from <= now
            and (each.usable_until is None or now < each.usable_until)
        ]
        chosen = self.random.choice(usable or self.balancer_vms)
        return (chosen.process.host, self.ports.packets)

    async def _async_add_balancer_vm(self, index: int) -> None:
        """Add the VM of a balancer with its link to the store."""
        host = f"{self._prefix}.1.{index + 1}"
        process = self._create_process("balancer", f"entry-{index}", host)
        process.addresses = [f"{host}:{self.ports.packets}"]
        link = StoreLink(self.store.port)
        await link.async_start()
        self.balancer_vms.append(BalancerVM(process, link))
        self.write_settings(process)

    async def _async_add_backend_vm(self, index: int) -> None:
        """Add the VM of a backend server and a companion, with its link."""
        host = f"{self._prefix}.2.{index + 1}"
        link_address = f"{self._prefix}.4.{index + 1}"
        process = self._create_process("companion", f"side-{index}", host)
        process.addresses = [
            f"{host}:{port}" for port in (self.ports.packets, self.ports.from_server)
        ]
        server_address = (host, self.ports.server)
        companion_address = (host, self.ports.from_server)
        service = SERVICES[index % len(SERVICES)]
        server = SoakServer(
            self._network,
            server_address,
            companion_address,
            service,
            BURST_REQUEST_DURATION_S if self.has_bursts else REQUEST_DURATION_S,
        )
        self._servers.append(await asyncio.start_server(_close, *server_address))
        return_addresses = {
            balancer_vm.process.host: f"{self._prefix}.{10 + number}.{index + 1}"
            for number, balancer_vm in enumerate(self.balancer_vms)
        }
        ports = (self.ports.packets, self.ports.fleet)
        link = CompanionLink(link_address, host, return_addresses, ports, self.random)
        vm = BackendVM(index, process, server, link, link_address)
        self.backend_vms.append(vm)
        self.write_settings(process)

    def _create_process(self, role: str, name: str, host: str) -> SoakProcess:
        """Return a process of this fleet."""
        return SoakProcess(
            role,
            name,
            host,
            self._folder,
            self._prelude,
            self._launcher,
            self._handle_end,
        )

    def _publish_server(self, vm: BackendVM, cold_ms: int) -> None:
        """Publish the store entry of a backend server."""
        self.publisher.server(
            vm.server_id,
            vm.server.service,
            f"{vm.link_address}:{self.ports.server}",
            vm.zone,
            self._slots,
            vm.started_ms,
            cold_ms,
            vm.is_draining,
        )


def _close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Accept and close a connection, which passes the health check."""
    writer.close()

"""Fleet of role processes, each with its own settings file as on the platform.

Every VM has its own loopback address, so all of them can use the same ports::

    fleet = PlatformFleet(Path(directory), balancers=2, servers=3)
    await fleet.async_start()
    answer = await fleet.caller().async_open_and_request(b"request")
"""

import asyncio
import json
import os
import resource
import signal
import socket
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import aiohttp
import attrs

from harness.process import ROOT
from stand_ins.flows import CallerHost, LoopbackNetwork, StandInCaller, StandInServer
from stand_ins.loopback_networks import ClaimedNetwork
from stand_ins.platform_store import PlatformStore, PublishedRoute, Publisher

SERVICE: Final = "ledger"
SERVICE_ADDRESS: Final = ("198.51.100.1", 8443)
START_TIMEOUT_S: Final = 60.0
POLL_INTERVAL_S: Final = 0.02

_SETTINGS_TEMPLATE = """
node_name = "{name}"
zone = "{zone}"
ip = "{host}"
internal_ports = [{fleet}, {fleet}]
bootstrap = {bootstrap}
{companion}
[listen]
datagram_addr = "{host}:{packets}"
ready = "{host}:{ready}"
{outbound}
[limits]
cpu_share = 1.0
cpu_cores = 1
bandwidth_mbps = 1000.0
[platform]
address = "127.0.0.1:{store}"
"""


@attrs.frozen
class Ports:
    """Ports that are the same on all VMs."""

    packets: int
    fleet: int
    ready: int
    server: int
    from_server: int


def free_ports(host: str) -> Ports:
    """Return ports that are unused at an address."""
    sockets = []
    for _ in range(5):
        bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        bound.bind((host, 0))
        sockets.append(bound)
    numbers = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return Ports(*numbers)


async def async_wait_until(check: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a check returns True."""
    while True:
        if await check():
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def async_wait_ready(process: "RoleProcess", port: int) -> None:
    """Wait until a process reports that it is ready."""
    url = f"http://{process.host}:{port}/readiness"
    async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
        while True:
            try:
                async with session.get(url) as answer:
                    if answer.status == 200:
                        return
            except aiohttp.ClientError:
                # The process has not opened its port yet.
                pass
            await asyncio.sleep(POLL_INTERVAL_S)


def write_settings(
    process: "RoleProcess",
    ports: Ports,
    store: int,
    service: str = "",
    zone: str = "zone-1",
    is_first_start: bool = False,
) -> None:
    """Write a settings file, for a companion if a service is given."""
    app = f'app = "{process.host}:{ports.server}"\nservice = "{service}"'
    outbound = f'outbound = "{process.host}:{ports.from_server}"'
    text = _SETTINGS_TEMPLATE.format(
        name=process.name,
        zone=zone,
        host=process.host,
        fleet=ports.fleet,
        packets=ports.packets,
        ready=ports.ready,
        store=store,
        bootstrap=str(is_first_start).lower(),
        companion=app if service else "",
        outbound=outbound if service else "",
    )
    process.settings.write_text(text)


class RoleProcess:
    """A process of a role that can be restarted with the same settings."""

    def __init__(
        self, role: str, name: str, host: str, directory: Path, prelude: str = ""
    ) -> None:
        """Initialize with a directory for settings and log.

        ``prelude`` is a statement that the process executes first.
        """
        self._prelude = prelude
        self.name = name
        self.host = host
        self.settings = directory / f"{name}.toml"
        self.log = directory / f"{name}.log"
        self._role = role
        self._process: asyncio.subprocess.Process | None = None

    @property
    def settings_environment(self) -> dict[str, str]:
        """Return the variable that names the settings file."""
        return {"POMELOTRAIL_NODE_FILE": str(self.settings)}

    async def async_start(self) -> None:
        """Start the process."""
        paths = [ROOT, ROOT / "platform", *sorted((ROOT / "packages").iterdir())]
        code = self._prelude + (
            "import sys; from importlib import import_module; "
            "from pomelotrail_core.lean_process import run_role; "
            f"run_role(import_module('pomelotrail_platform.{self._role}_role')"
            ".async_main)"
        )
        with self.log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                code,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join(map(str, paths)),
                    **self.settings_environment,
                },
            )

    async def async_stop(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal that ends the process and wait for its exit."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(number)
        await self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal that does not end the process."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    def limit_descriptors(self, number: int) -> None:
        """Let the running process open no descriptor from a number on."""
        _, most = resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE)
        limits = (min(number, most), most)
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)

    @property
    def peak_memory_bytes(self) -> int:
        """Return the highest resident size that the running process has had."""
        status = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) * 1024

    def lines(self) -> list[dict]:
        """Return the lines of the structured log."""
        text = self.log.read_text().splitlines()
        return [json.loads(line) for line in text if line.startswith("{")]


class PlatformFleet:
    """Balancers, companions, a store and backend servers on one machine."""

    def __init__(
        self,
        directory: Path,
        balancers: int = 2,
        servers: int = 3,
        prelude: str = "",
    ) -> None:
        """Describe the fleet; each process executes ``prelude`` first."""
        self.store = PlatformStore()
        self.network = LoopbackNetwork()
        self._addresses = ClaimedNetwork()
        prefix = self._addresses.prefix
        self.balancers = [
            RoleProcess(
                "balancer", f"entry-{i}", f"{prefix}.1.{i + 1}", directory, prelude
            )
            for i in range(balancers)
        ]
        self.companions = [
            RoleProcess(
                "companion", f"side-{i}", f"{prefix}.2.{i + 1}", directory, prelude
            )
            for i in range(servers)
        ]
        self.ports = free_ports(f"{prefix}.2.1")
        self.servers: list[StandInServer] = []
        self._health_servers: list[asyncio.Server] = []
        self._balancer_index = 0
        self._caller_host: CallerHost | None = None

    async def async_start(self) -> None:
        """Start all parts and wait until all processes are ready."""
        await self.store.async_start()
        self._publish()
        for companion in self.companions:
            self._write_settings(companion, is_first_start=True)
            app = (companion.host, self.ports.server)
            answers_address = (companion.host, self.ports.from_server)
            self.servers.append(
                StandInServer(self.network, app, answers_address, SERVICE)
            )
            health = await asyncio.start_server(lambda r, w: w.close(), *app)
            self._health_servers.append(health)
        for balancer in self.balancers:
            self._write_settings(balancer, is_first_start=True)
        processes = [*self.companions, *self.balancers]
        for process in processes:
            await process.async_start()
        for process in processes:
            await self.async_wait_ready(process)
        for process in processes:
            self._write_settings(process, is_first_start=False)
        address = (f"{self._addresses.prefix}.3.1", self.ports.packets)
        self._caller_host = CallerHost(self.network, address, self._balancer_address)

    async def async_stop(self) -> None:
        """Stop all processes of this fleet."""
        for process in (*self.companions, *self.balancers):
            await process.async_stop(signal.SIGKILL)
        for server in self._health_servers:
            server.close()
        await self.store.async_stop()
        self.network.close()
        self._addresses.release()

    async def async_wait_ready(self, process: RoleProcess) -> None:
        """Wait until a process reports that it is ready."""
        await async_wait_ready(process, self.ports.ready)

    async def async_readiness(self, process: RoleProcess) -> int:
        """Return the HTTP status of the readiness of a process."""
        url = f"http://{process.host}:{self.ports.ready}/readiness"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return answer.status

    async def async_metrics(self, process: RoleProcess) -> str:
        """Return the metrics of a process."""
        url = f"http://{process.host}:{self.ports.ready}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return await answer.text()

    def use_balancer(self, index: int) -> None:
        """Send further packets through another balancer."""
        self._balancer_index = index

    def caller(self) -> StandInCaller:
        """Return a caller that uses its own flow."""
        return self._caller_host.caller(SERVICE_ADDRESS)

    def _balancer_address(self) -> tuple[str, int]:
        """Return the address that the fabric sends packets to."""
        return (self.balancers[self._balancer_index].host, self.ports.packets)

    def _publish(self) -> None:
        """Write the configuration and the entries of all servers."""
        publisher = Publisher(self.store)
        route = PublishedRoute("board", *SERVICE_ADDRESS, SERVICE)
        publisher.configuration(1, [route])
        for index, companion in enumerate(self.companions):
            address = f"{companion.host}:{self.ports.server}"
            publisher.server(f"server-{index}", SERVICE, address, "zone-1", 4, 0)

    def _write_settings(self, process: RoleProcess, is_first_start: bool) -> None:
        """Write the settings file of a process."""
        service = SERVICE if process in self.companions else ""
        write_settings(
            process,
            self.ports,
            self.store.port,
            service=service,
            is_first_start=is_first_start,
        )

"""The roles as the platform runs them: processes with a settings file each.

Every VM has a loopback address of its own, so that all may use the same ports::

    fleet = PlatformFleet(Path(directory), balancers=2, servers=3)
    await fleet.async_start()
    answer = await fleet.caller().async_request(b"question")
"""

import asyncio
import json
import os
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
from stand_ins.platform_store import PlatformStore, PublishedRoute, Publisher

SERVICE: Final = "ledger"
SERVICE_ADDRESS: Final = ("198.51.100.1", 8443)
START_TIMEOUT_S: Final = 60.0
POLL_S: Final = 0.02

_SETTINGS = """
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
    """The ports that are the same on all VMs."""

    packets: int
    fleet: int
    ready: int
    server: int
    from_server: int


def free_ports(host: str) -> Ports:
    """Return ports that nobody uses at an address."""
    held = []
    for _ in range(5):
        each = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        each.bind((host, 0))
        held.append(each)
    numbers = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return Ports(*numbers)


async def async_until(check: Callable[[], Awaitable[bool]]) -> None:
    """Wait until a check holds."""
    while True:
        if await check():
            return
        await asyncio.sleep(POLL_S)


async def async_wait_ready(process: "RoleProcess", port: int) -> None:
    """Wait until a process answers that it is ready."""
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
            await asyncio.sleep(POLL_S)


def write_settings(
    process: "RoleProcess",
    ports: Ports,
    store: int,
    service: str = "",
    zone: str = "zone-1",
    is_first_start: bool = False,
) -> None:
    """Write the settings file of a process; a service makes it a companion's."""
    app = f'app = "{process.host}:{ports.server}"\nservice = "{service}"'
    outbound = f'outbound = "{process.host}:{ports.from_server}"'
    text = _SETTINGS.format(
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
    """One role, started again and again with the same settings."""

    def __init__(
        self, role: str, name: str, host: str, directory: Path, prelude: str = ""
    ) -> None:
        """Keep settings and log under a directory.

        ``prelude`` is a statement that the process runs first.
        """
        self._prelude = prelude
        self.name = name
        self.host = host
        self.settings = directory / f"{name}.toml"
        self.log = directory / f"{name}.log"
        self._role = role
        self._process: asyncio.subprocess.Process | None = None

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
                    "POMELOTRAIL_NODE_FILE": str(self.settings),
                },
            )

    async def async_stop(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Send a signal that ends the process, and wait for the end."""
        if self._process is None or self._process.returncode is not None:
            return
        self._process.send_signal(number)
        await self._process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal after which the process goes on."""
        self._process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Tell whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    def lines(self) -> list[dict]:
        """Return the structured log."""
        text = self.log.read_text().splitlines()
        return [json.loads(line) for line in text if line.startswith("{")]


class PlatformFleet:
    """Balancers, companions, a store and backend servers on one machine."""

    def __init__(self, directory: Path, balancers: int = 2, servers: int = 3) -> None:
        """Describe the fleet."""
        self.store = PlatformStore()
        self.network = LoopbackNetwork()
        self.balancers = [
            RoleProcess("balancer", f"entry-{i}", f"127.1.0.{i + 1}", directory)
            for i in range(balancers)
        ]
        self.companions = [
            RoleProcess("companion", f"side-{i}", f"127.2.0.{i + 1}", directory)
            for i in range(servers)
        ]
        self.ports = free_ports("127.2.0.1")
        self.servers: list[StandInServer] = []
        self._health: list[asyncio.Server] = []
        self._entry = 0
        self._callers: CallerHost | None = None

    async def async_start(self) -> None:
        """Start everything and wait until it serves."""
        await self.store.async_start()
        self._publish()
        for companion in self.companions:
            self._write_settings(companion, is_first_start=True)
            app = (companion.host, self.ports.server)
            back = (companion.host, self.ports.from_server)
            self.servers.append(StandInServer(self.network, app, back, SERVICE))
            health = await asyncio.start_server(lambda r, w: w.close(), *app)
            self._health.append(health)
        for balancer in self.balancers:
            self._write_settings(balancer, is_first_start=True)
        everybody = [*self.companions, *self.balancers]
        for each in everybody:
            await each.async_start()
        for each in everybody:
            await self.async_wait_ready(each)
        for each in everybody:
            self._write_settings(each, is_first_start=False)
        address = ("127.3.0.1", self.ports.packets)
        self._callers = CallerHost(self.network, address, self._entry_address)

    async def async_stop(self) -> None:
        """End all processes that this fleet started."""
        for each in (*self.companions, *self.balancers):
            await each.async_stop(signal.SIGKILL)
        for server in self._health:
            server.close()
        await self.store.async_stop()
        self.network.close()

    async def async_wait_ready(self, process: RoleProcess) -> None:
        """Wait until a process answers that it is ready."""
        await async_wait_ready(process, self.ports.ready)

    async def async_readiness(self, process: RoleProcess) -> int:
        """Return the status that a process answers."""
        url = f"http://{process.host}:{self.ports.ready}/readiness"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return answer.status

    async def async_metrics(self, process: RoleProcess) -> str:
        """Return what a scrape shows."""
        url = f"http://{process.host}:{self.ports.ready}/metrics"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            return await answer.text()

    def enter_by(self, index: int) -> None:
        """Let the fabric choose another balancer."""
        self._entry = index

    def caller(self) -> StandInCaller:
        """Return a caller with a flow of its own."""
        return self._callers.caller(SERVICE_ADDRESS)

    def _entry_address(self) -> tuple[str, int]:
        """Return where the fabric sends packets."""
        return (self.balancers[self._entry].host, self.ports.packets)

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

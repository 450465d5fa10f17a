"""Starts a whole fleet on loopback: stand-ins, balancers and companions."""

import asyncio
import os
import random
import secrets
import socket
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import aiohttp
import attrs
import yaml

from harness.certificates import write_certificate, write_fleet_certificates
from harness.process import BINARIES, FleetProcess
from harness.specification import FleetSpecification
from pomelotrail_core.command_line.const import TLS_DIRECTORY_VARIABLE
from pomelotrail_core.configuration.const import VERSION_HEADER
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import PeerSecurity, install_security, load_security
from pomelotrail_core.settings.tls_files import TlsFiles

_LOOPBACK = "127.0.0.1"
# Below the ephemeral ports, which the kernel assigns to sockets bound to port 0.
_RESERVED_PORTS = range(15_000, 32_000)


class PortReserver:
    """Reserves unused addresses on loopback."""

    def __init__(self) -> None:
        """Start without reserved addresses."""
        self._reserved: set[int] = set()

    def reserve(self) -> Endpoint:
        """Return an address that is free for TCP and UDP."""
        while True:
            port = random.SystemRandom().choice(_RESERVED_PORTS)
            if port not in self._reserved and _is_free(port):
                self._reserved.add(port)
                return Endpoint(_LOOPBACK, port)


def _is_free(port: int) -> bool:
    """Return whether a port on loopback is unused for both TCP and UDP."""
    with (
        socket.socket(socket.AF_INET, socket.SOCK_STREAM) as stream,
        socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
    ):
        try:
            stream.bind((_LOOPBACK, port))
            datagram.bind((_LOOPBACK, port))
        except OSError:
            return False
    return True


@attrs.define
class PlannedCompanion:
    """Name, service, zone and addresses of a backend server and its companion."""

    name: str
    service: str
    zone: str
    backend_server: Endpoint
    packets: Endpoint
    control: Endpoint
    metrics: Endpoint


@attrs.define
class PlannedBalancer:
    """Name, zone and addresses of a balancer."""

    name: str
    zone: str
    packets: Endpoint
    control: Endpoint
    metrics: Endpoint
    listen: dict[str, Endpoint]


class Fleet:
    """A fleet of processes that a specification describes."""

    def __init__(self, specification: FleetSpecification, directory: Path) -> None:
        """Plan the fleet; settings and log files go to ``directory``."""
        self.specification = specification
        self.processes: dict[str, FleetProcess] = {}
        self._directory = directory
        self._ports = PortReserver()
        self._fleet_key = secrets.token_hex(32)
        self._token_key = secrets.token_hex(16)
        self._certificate, self._private_key = write_certificate(directory)
        self._tls_files = self._install_certificates(directory / "tls")
        self.configuration_service = self._ports.reserve()
        self.fabric_control = self._ports.reserve()
        self.vm_list = self._ports.reserve()
        self.service_addresses = {
            service.name: self._ports.reserve() for service in specification.services
        }
        self.companions = self._plan_companions()
        self.balancers = self._plan_balancers()
        self.document = self._initial_document()

    @property
    def control_addresses(self) -> list[Endpoint]:
        """Return the control addresses of all balancers and companions."""
        return [planned.control for planned in [*self.balancers, *self.companions]]

    @property
    def program_names(self) -> list[str]:
        """Return the names of all companions and balancers."""
        return [planned.name for planned in [*self.companions, *self.balancers]]

    async def async_start(self) -> None:
        """Start all processes: stand-ins first, then balancers and companions."""
        await self.async_start_platform()
        await self.async_publish()
        await self.async_start_programs(self.program_names)

    async def async_start_platform(self) -> None:
        """Start the stand-ins without publishing a configuration."""
        await self._async_start_stand_ins()
        for companion in self.companions:
            self._add_companion(companion)
        for balancer in self.balancers:
            self._add_balancer(balancer)

    async def async_start_programs(self, names: Sequence[str]) -> None:
        """Start these balancers and companions and wait until they are ready."""
        await asyncio.gather(*(self.processes[name].async_start() for name in names))

    async def async_stop(self) -> None:
        """Stop all processes in the reverse order of their start."""
        processes = list(reversed(self.processes.values()))
        await asyncio.gather(*(process.async_stop() for process in processes))
        self._uninstall_certificates()

    async def async_publish(self) -> None:
        """Publish the document as the next version."""
        self.document["version"] += 1
        url = f"http://{self.configuration_service}/admin/document"
        headers = {VERSION_HEADER: str(self.document["version"])}
        async with aiohttp.ClientSession() as session:
            await session.put(url, data=yaml.safe_dump(self.document), headers=headers)

    def set_zone_out(self, zone: str, is_out: bool) -> None:
        """Take a zone out of service or back in the document, without publishing it."""
        for each in self.document["zones"]:
            if each["name"] == zone:
                each["out"] = is_out

    async def async_set_members(self, names: Sequence[str]) -> None:
        """Make the fabric spray packets over these balancers only."""
        chosen = [balancer for balancer in self.balancers if balancer.name in names]
        members = {
            service: [str(balancer.listen[service]) for balancer in chosen]
            for service in self.service_addresses
        }
        async with aiohttp.ClientSession() as session:
            await session.post(f"http://{self.fabric_control}/members", json=members)

    async def async_set_faults(self, **faults: float) -> None:
        """Make the fabric drop, duplicate or delay packets."""
        async with aiohttp.ClientSession() as session:
            await session.post(f"http://{self.fabric_control}/faults", json=faults)

    def add_stand_in(self, name: str, module: str, settings: dict[str, Any]) -> None:
        """Add a stand-in that runs ``module`` with the settings."""
        path = self._write_settings(name, {"name": name, **settings})
        command = [sys.executable, "-m", f"stand_ins.{module}", str(path)]
        self._add(name, command)

    def _install_certificates(self, directory: Path) -> TlsFiles:
        """Create the fleet's certificates and use them here and in commands."""
        files = write_fleet_certificates(directory)
        install_security(load_security(files).unwrap())
        os.environ[TLS_DIRECTORY_VARIABLE] = str(directory)
        return files

    def _uninstall_certificates(self) -> None:
        """Use plain control connections in this process and its commands again."""
        install_security(PeerSecurity())
        os.environ.pop(TLS_DIRECTORY_VARIABLE, None)

    def _plan_companions(self) -> list[PlannedCompanion]:
        """Distribute the backend servers of every service over the zones."""
        zones = self.specification.zones
        return [
            PlannedCompanion(
                name=f"{service.name}-{number + 1}",
                service=service.name,
                zone=zones[number % len(zones)],
                backend_server=self._ports.reserve(),
                packets=self._ports.reserve(),
                control=self._ports.reserve(),
                metrics=self._ports.reserve(),
            )
            for service in self.specification.services
            for number in range(service.endpoints)
        ]

    def _plan_balancers(self) -> list[PlannedBalancer]:
        """Distribute the balancers over the zones."""
        zones = self.specification.zones
        return [
            PlannedBalancer(
                name=f"balancer-{number + 1}",
                zone=zones[number % len(zones)],
                packets=self._ports.reserve(),
                control=self._ports.reserve(),
                metrics=self._ports.reserve(),
                listen={name: self._ports.reserve() for name in self.service_addresses},
            )
            for number in range(self.specification.balancers)
        ]

    def _initial_document(self) -> dict[str, Any]:
        """Return the configuration document before its first publication."""
        return {
            "version": 0,
            "zones": [
                {"name": zone, "number": number + 1}
                for number, zone in enumerate(self.specification.zones)
            ],
            "balancers": [
                {
                    "name": balancer.name,
                    "zone": balancer.zone,
                    "packets": str(balancer.packets),
                    "control": str(balancer.control),
                }
                for balancer in self.balancers
            ],
            "services": [
                {
                    "name": service.name,
                    "number": number + 1,
                    "classes": [dict(each) for each in service.classes],
                    "backend_servers": self._backend_servers(service.name),
                }
                for number, service in enumerate(self.specification.services)
            ],
        }

    def _backend_servers(self, service_name: str) -> list[dict[str, Any]]:
        """Return the backend servers of a service for the document."""
        service = next(
            each for each in self.specification.services if each.name == service_name
        )
        return [
            {
                "name": companion.name,
                "zone": companion.zone,
                "packets": str(companion.packets),
                "control": str(companion.control),
                "slots": service.slots,
                "connections": service.connections,
            }
            for companion in self.companions
            if companion.service == service_name
        ]

    async def _async_start_stand_ins(self) -> None:
        """Start the stand-ins of the platform, fabric and backend servers."""
        self.add_stand_in(
            "configuration-service",
            "configuration_service",
            {"address": str(self.configuration_service)},
        )
        self.add_stand_in("vm-list", "vm_list", {"address": str(self.vm_list)})
        self.add_stand_in("fabric", "fabric", self._fabric_settings())
        slots = {each.name: each.slots for each in self.specification.services}
        for companion in self.companions:
            self.add_stand_in(
                f"backend-server-{companion.name}",
                "backend_server",
                {
                    "address": str(companion.backend_server),
                    "slots": slots[companion.service],
                },
            )
        started = list(self.processes.values())
        await asyncio.gather(*(process.async_start() for process in started))

    def _fabric_settings(self) -> dict[str, Any]:
        """Return the settings of the fabric."""
        return {
            "control": str(self.fabric_control),
            "services": [
                {
                    "name": name,
                    "address": str(address),
                    "balancers": [
                        str(balancer.listen[name]) for balancer in self.balancers
                    ],
                }
                for name, address in self.service_addresses.items()
            ],
        }

    def _add_companion(self, companion: PlannedCompanion) -> None:
        """Add the process of a companion."""
        settings = {
            **self._process_settings(companion),
            "service": companion.service,
            "backend_server": str(companion.backend_server),
            "health_path": "/health",
            "certificate": str(self._certificate),
            "private_key": str(self._private_key),
        }
        path = self._write_settings(companion.name, settings)
        program = str(BINARIES / "pomelotrail-companion")
        self._add(companion.name, [program, "run", str(path)])

    def _add_balancer(self, balancer: PlannedBalancer) -> None:
        """Add the process of a balancer."""
        settings = {
            **self._process_settings(balancer),
            "listen": [
                {"service": name, "address": str(address)}
                for name, address in balancer.listen.items()
            ],
        }
        path = self._write_settings(balancer.name, settings)
        program = str(BINARIES / "pomelotrail")
        self._add(balancer.name, [program, "balancer", str(path)])

    def _process_settings(
        self, planned: PlannedCompanion | PlannedBalancer
    ) -> dict[str, Any]:
        """Return the settings that all balancers and companions have."""
        service = self.configuration_service
        return {
            "name": planned.name,
            "zone": planned.zone,
            "packets": str(planned.packets),
            "control": str(planned.control),
            "metrics": str(planned.metrics),
            "configuration_service": f"http://{service}/v1/configuration",
            "fleet_key": self._fleet_key,
            "token_keys": [{"generation": 0, "key": self._token_key}],
            "tls": {
                key: str(path) for key, path in attrs.asdict(self._tls_files).items()
            },
        }

    def _write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        """Write a settings file and return its path."""
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    def _add(self, name: str, command: Sequence[str]) -> None:
        """Add a process without starting it."""
        log = self._directory / f"{name}.log"
        self.processes[name] = FleetProcess(name, command, log)

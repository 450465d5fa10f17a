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
# Below the ports that the kernel gives to sockets which ask for any.
_RESERVED_PORTS = range(15_000, 32_000)


class PortReserver:
    """Hands out addresses on loopback that nobody uses."""

    def __init__(self) -> None:
        """Start with none handed out."""
        self._taken: set[int] = set()

    def reserve(self) -> Endpoint:
        """Return an address that is free for TCP and UDP."""
        while True:
            port = random.SystemRandom().choice(_RESERVED_PORTS)
            if port not in self._taken and _is_free(port):
                self._taken.add(port)
                return Endpoint(_LOOPBACK, port)


def _is_free(port: int) -> bool:
    """Tell whether nobody uses a port of loopback for TCP or UDP."""
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
class CompanionPlace:
    """Where one backend server and its companion live."""

    name: str
    service: str
    zone: str
    backend_server: Endpoint
    packets: Endpoint
    control: Endpoint
    metrics: Endpoint


@attrs.define
class BalancerPlace:
    """Where one balancer lives."""

    name: str
    zone: str
    packets: Endpoint
    control: Endpoint
    metrics: Endpoint
    listen: dict[str, Endpoint]


class Fleet:
    """A fleet of processes made from a specification."""

    def __init__(self, specification: FleetSpecification, directory: Path) -> None:
        """Plan the fleet; settings and log files go to ``directory``."""
        self.specification = specification
        self.processes: dict[str, FleetProcess] = {}
        self._directory = directory
        self._ports = PortReserver()
        self._fleet_key = secrets.token_hex(32)
        self._token_key = secrets.token_hex(16)
        self._certificate, self._private_key = write_certificate(directory)
        self._tls_files = self._join_fleet(directory / "tls")
        self.configuration_service = self._ports.reserve()
        self.fabric_control = self._ports.reserve()
        self.vm_list = self._ports.reserve()
        self.service_addresses = {
            service.name: self._ports.reserve() for service in specification.services
        }
        self.companions = self._plan_companions()
        self.balancers = self._plan_balancers()
        self.document = self._first_document()

    @property
    def control_addresses(self) -> list[Endpoint]:
        """Return the control addresses of all balancers and companions."""
        return [place.control for place in [*self.balancers, *self.companions]]

    @property
    def program_names(self) -> list[str]:
        """Return the names of all companions and balancers."""
        return [place.name for place in [*self.companions, *self.balancers]]

    async def async_start(self) -> None:
        """Start every process: stand-ins first, then the real programs."""
        await self.async_start_platform()
        await self.async_publish()
        await self.async_start_programs(self.program_names)

    async def async_start_platform(self) -> None:
        """Start the stand-ins; nothing is published yet."""
        await self._async_start_stand_ins()
        for companion in self.companions:
            self._add_companion(companion)
        for balancer in self.balancers:
            self._add_balancer(balancer)

    async def async_start_programs(self, names: Sequence[str]) -> None:
        """Start these balancers and companions and wait until all serve."""
        await asyncio.gather(*(self.processes[name].async_start() for name in names))

    async def async_stop(self) -> None:
        """Stop every process, the real programs first."""
        processes = list(reversed(self.processes.values()))
        await asyncio.gather(*(process.async_stop() for process in processes))
        self._leave_fleet()

    async def async_publish(self) -> None:
        """Publish the document as the next version."""
        self.document["version"] += 1
        url = f"http://{self.configuration_service}/admin/document"
        headers = {VERSION_HEADER: str(self.document["version"])}
        async with aiohttp.ClientSession() as session:
            await session.put(url, data=yaml.safe_dump(self.document), headers=headers)

    def set_zone_out(self, zone: str, is_out: bool) -> None:
        """Take a zone out or back in the document; publish it afterwards."""
        for each in self.document["zones"]:
            if each["name"] == zone:
                each["out"] = is_out

    async def async_set_members(self, names: Sequence[str]) -> None:
        """Make the fabric spray over these balancers only."""
        chosen = [place for place in self.balancers if place.name in names]
        members = {
            service: [str(place.listen[service]) for place in chosen]
            for service in self.service_addresses
        }
        async with aiohttp.ClientSession() as session:
            await session.post(f"http://{self.fabric_control}/members", json=members)

    async def async_set_faults(self, **faults: float) -> None:
        """Make the fabric lose, duplicate or delay packets."""
        async with aiohttp.ClientSession() as session:
            await session.post(f"http://{self.fabric_control}/faults", json=faults)

    def stand_in(self, name: str, module: str, settings: dict[str, Any]) -> None:
        """Add a stand-in that runs ``module`` with the settings."""
        path = self._write_settings(name, {"name": name, **settings})
        command = [sys.executable, "-m", f"stand_ins.{module}", str(path)]
        self._add(name, command)

    def _join_fleet(self, directory: Path) -> TlsFiles:
        """Make the fleet's certificates, for this process and its commands too."""
        files = write_fleet_certificates(directory)
        install_security(load_security(files).unwrap())
        os.environ[TLS_DIRECTORY_VARIABLE] = str(directory)
        return files

    def _leave_fleet(self) -> None:
        """Let what runs later in this process use plain control connections."""
        install_security(PeerSecurity())
        os.environ.pop(TLS_DIRECTORY_VARIABLE, None)

    def _plan_companions(self) -> list[CompanionPlace]:
        """Spread the backend servers of every service over the zones."""
        zones = self.specification.zones
        return [
            CompanionPlace(
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

    def _plan_balancers(self) -> list[BalancerPlace]:
        """Spread the balancers over the zones."""
        zones = self.specification.zones
        return [
            BalancerPlace(
                name=f"balancer-{number + 1}",
                zone=zones[number % len(zones)],
                packets=self._ports.reserve(),
                control=self._ports.reserve(),
                metrics=self._ports.reserve(),
                listen={name: self._ports.reserve() for name in self.service_addresses},
            )
            for number in range(self.specification.balancers)
        ]

    def _first_document(self) -> dict[str, Any]:
        """Return the configuration document before its first publication."""
        return {
            "version": 0,
            "zones": [
                {"name": zone, "number": number + 1}
                for number, zone in enumerate(self.specification.zones)
            ],
            "balancers": [
                {
                    "name": place.name,
                    "zone": place.zone,
                    "packets": str(place.packets),
                    "control": str(place.control),
                }
                for place in self.balancers
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
                "name": place.name,
                "zone": place.zone,
                "packets": str(place.packets),
                "control": str(place.control),
                "slots": service.slots,
                "connections": service.connections,
            }
            for place in self.companions
            if place.service == service_name
        ]

    async def _async_start_stand_ins(self) -> None:
        """Start the platform, the fabric and the backend servers."""
        self.stand_in(
            "configuration-service",
            "configuration_service",
            {"address": str(self.configuration_service)},
        )
        self.stand_in("vm-list", "vm_list", {"address": str(self.vm_list)})
        self.stand_in("fabric", "fabric", self._fabric_settings())
        slots = {each.name: each.slots for each in self.specification.services}
        for place in self.companions:
            self.stand_in(
                f"backend-server-{place.name}",
                "backend_server",
                {"address": str(place.backend_server), "slots": slots[place.service]},
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
                    "balancers": [str(place.listen[name]) for place in self.balancers],
                }
                for name, address in self.service_addresses.items()
            ],
        }

    def _add_companion(self, place: CompanionPlace) -> None:
        """Add the process of a companion."""
        settings = {
            **self._process_settings(place),
            "service": place.service,
            "backend_server": str(place.backend_server),
            "health_path": "/health",
            "certificate": str(self._certificate),
            "private_key": str(self._private_key),
        }
        path = self._write_settings(place.name, settings)
        program = str(BINARIES / "pomelotrail-companion")
        self._add(place.name, [program, "run", str(path)])

    def _add_balancer(self, place: BalancerPlace) -> None:
        """Add the process of a balancer."""
        settings = {
            **self._process_settings(place),
            "listen": [
                {"service": name, "address": str(address)}
                for name, address in place.listen.items()
            ],
        }
        path = self._write_settings(place.name, settings)
        program = str(BINARIES / "pomelotrail")
        self._add(place.name, [program, "balancer", str(path)])

    def _process_settings(
        self, place: CompanionPlace | BalancerPlace
    ) -> dict[str, Any]:
        """Return the settings that every process of the fleet has."""
        service = self.configuration_service
        return {
            "name": place.name,
            "zone": place.zone,
            "packets": str(place.packets),
            "control": str(place.control),
            "metrics": str(place.metrics),
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
        """Add a process that is not started yet."""
        log = self._directory / f"{name}.log"
        self.processes[name] = FleetProcess(name, command, log)

"""Starts of real balancers and companions while something they need is missing."""

import asyncio
import datetime
import socket
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import Final

import aiohttp
import attrs
import yaml

from harness.certificates import write_certificate
from harness.fleet import Fleet
from harness.specification import KESAR_TIDEWATER
from pomelotrail_core.configuration.const import VERSION_HEADER
from pomelotrail_core.endpoint import Endpoint

# Much longer than it takes, for busy machines.
_ADOPTION_LIMIT: Final = datetime.timedelta(seconds=90)

_SERVICE = attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=1)
_SMALLEST_FLEET = attrs.evolve(KESAR_TIDEWATER, balancers=1, services=(_SERVICE,))


def hold_address(endpoint: Endpoint) -> tuple[socket.socket, socket.socket]:
    """Return sockets that hold an address for TCP and for UDP."""
    stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    stream.bind(endpoint.socket_address)
    stream.listen()
    datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagrams.bind(endpoint.socket_address)
    return stream, datagrams


class ProgramStartsTest(unittest.IsolatedAsyncioTestCase):
    """What comes back by itself is waited for, and a signal ends the wait."""

    async def asyncSetUp(self) -> None:
        """Start the stand-ins of a small fleet."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.fleet = Fleet(_SMALLEST_FLEET, self.directory)
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start_platform()
        self.balancer = self.fleet.balancers[0]
        self.companion = self.fleet.companions[0]

    async def async_wait_for_line(self, name: str, text: str) -> None:
        """Wait until the log of a process has a text."""
        log = self.directory / f"{name}.log"
        while True:
            if log.exists() and text in log.read_text():
                return
            await asyncio.sleep(0.05)

    async def async_check_wait(self, name: str, field: str, held: Endpoint) -> None:
        """Start a process while an address is held, and release it on its line."""
        sockets = hold_address(held)
        starting = asyncio.create_task(self.fleet.processes[name].async_start())
        line = asyncio.create_task(
            self.async_wait_for_line(name, f"{field}: address {held} can't be used")
        )
        try:
            await asyncio.wait([starting, line], return_when=asyncio.FIRST_COMPLETED)
        finally:
            line.cancel()
            for each in sockets:
                each.close()
        await starting
        self.assertEqual(await self.fleet.processes[name].async_stop(), 0)

    async def test_predecessor_holds_the_addresses_of_a_balancer(self) -> None:
        """Guards against a balancer that ends for an address held for a moment."""
        await self.fleet.async_publish()
        name, listen = self.balancer.name, self.balancer.listen[_SERVICE.name]
        await self.async_check_wait(name, "control", self.balancer.control)
        await self.async_check_wait(name, "packets", self.balancer.packets)
        await self.async_check_wait(name, "listen", listen)

    async def test_predecessor_holds_the_addresses_of_a_companion(self) -> None:
        """Guards against a companion that ends for an address held for a moment."""
        await self.fleet.async_publish()
        name = self.companion.name
        await self.async_check_wait(name, "control", self.companion.control)
        await self.async_check_wait(name, "packets", self.companion.packets)

    async def async_check_files(
        self, name: str, paths: Sequence[Path], broken: bytes | None
    ) -> None:
        """Start a process while a file is broken or absent, and restore it."""
        for path in paths:
            content = path.read_bytes()
            path.unlink()
            if broken is not None:
                path.write_bytes(broken)
            starting = asyncio.create_task(self.fleet.processes[name].async_start())
            line = asyncio.create_task(
                self.async_wait_for_line(name, "Waiting for a usable file")
            )
            await asyncio.wait([starting, line], return_when=asyncio.FIRST_COMPLETED)
            line.cancel()
            path.write_bytes(content)
            await starting
            self.assertEqual(await self.fleet.processes[name].async_stop(), 0)
            (self.directory / f"{name}.log").unlink()

    async def test_files_that_are_being_replaced(self) -> None:
        """Guards against an end for files that are absent or half written."""
        await self.fleet.async_publish()
        for name in self.fleet.program_names:
            settings = self.directory / f"{name}.yaml"
            key = Path(yaml.safe_load(settings.read_text())["tls"]["private_key"])
            await self.async_check_files(name, [settings, key], None)
            await self.async_check_files(name, [settings, key], b"name: 'half")

    async def test_certificate_that_is_being_replaced(self) -> None:
        """Guards against an end for the certificate that callers see."""
        await self.fleet.async_publish()
        name = self.companion.name
        settings = yaml.safe_load((self.directory / f"{name}.yaml").read_text())
        files = [Path(settings["certificate"]), Path(settings["private_key"])]
        other = write_certificate(self.directory / "tls")
        await self.async_check_files(name, files, None)
        await self.async_check_files(name, files, b"-----BEGIN CERT")
        await self.async_check_files(name, files[:1], other[0].read_bytes())

    async def test_zone_that_is_published_later(self) -> None:
        """Guards against a companion that ends because its zone is not listed yet."""
        await self.fleet.async_publish()
        name = self.companion.name
        settings = self.directory / f"{name}.yaml"
        settings.write_text(
            yaml.safe_dump({**yaml.safe_load(settings.read_text()), "zone": "later"})
        )
        starting = asyncio.create_task(self.fleet.processes[name].async_start())
        line = asyncio.create_task(self.async_wait_for_line(name, "zone 'later' is"))
        await asyncio.wait([starting, line], return_when=asyncio.FIRST_COMPLETED)
        line.cancel()
        self.fleet.document["zones"].append({"name": "later", "number": 9})
        await self.fleet.async_publish()
        await starting

    async def test_unusable_document(self) -> None:
        """Guards against processes that adopt nothing after an unusable document."""
        await self.fleet.async_publish()
        names = self.fleet.program_names
        await self.fleet.async_start_programs(names)
        self.fleet.document["note"] = datetime.date(2026, 1, 31)
        text = yaml.safe_dump(self.fleet.document).replace("2026-01-31", "2026-13-31")
        del self.fleet.document["note"]
        self.fleet.document["version"] += 1
        await self.async_publish_text(text, self.fleet.document["version"])
        async with asyncio.timeout(_ADOPTION_LIMIT.total_seconds()):
            for name in names:
                await self.async_wait_for_line(name, "month must be in 1..12")
            await self.fleet.async_publish()
            version = self.fleet.document["version"]
            for name in names:
                await self.async_wait_for_line(name, f"Version {version} is in force")

    async def async_publish_text(self, text: str, version: int) -> None:
        """Publish a text as a version, without checking it."""
        url = f"http://{self.fleet.configuration_service}/admin/document"
        headers = {VERSION_HEADER: str(version)}
        async with aiohttp.ClientSession() as session:
            await session.put(url, data=text, headers=headers, raise_for_status=True)

    async def test_stop_of_a_program_that_waits_for_its_configuration(self) -> None:
        """Guards against a process that must be killed while it waits."""
        for planned in (self.balancer, self.companion):
            process = self.fleet.processes[planned.name]
            starting = asyncio.create_task(process.async_start())
            while not await self.async_is_listening(planned.control):
                self.assertFalse(starting.done())
                await asyncio.sleep(0.05)
            code = await process.async_stop()
            await asyncio.wait([starting])
            self.assertIsNotNone(starting.exception())
            self.assertEqual(code, 0, planned.name)

    async def async_is_listening(self, endpoint: Endpoint) -> bool:
        """Return whether a process accepts connections at an address."""
        try:
            _, writer = await asyncio.open_connection(endpoint.host, endpoint.port)
        except OSError:
            return False
        writer.close()
        return True

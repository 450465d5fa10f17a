"""Tests that control connections reject untrusted processes."""

import tempfile
import unittest
from pathlib import Path

import attrs
from grpclib.exceptions import GRPCError, StreamTerminatedError

from harness.certificates import write_fleet_certificates
from harness.fleet import PortReserver
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import (
    ControlServer,
    PeerSecurity,
    install_security,
    load_security,
    open_channel,
)
from pomelotrail_core.peers.status import StatusService
from pomelotrail_core.peers.status_grpc import StatusStub
from pomelotrail_core.peers.status_pb2 import StatusReply, StatusRequest


async def async_get_status(endpoint: Endpoint) -> StatusReply:
    """Query the status with the installed TLS contexts."""
    channel = open_channel(endpoint)
    try:
        return await StatusStub(channel).Get(StatusRequest(), timeout=2)
    finally:
        channel.close()


class SecurityTest(unittest.IsolatedAsyncioTestCase):
    """Only processes with a certificate of the fleet can connect."""

    async def asyncSetUp(self) -> None:
        """Start a server with a certificate of the fleet."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.addCleanup(install_security, PeerSecurity())
        self.directory = Path(directory.name)
        self.files = write_fleet_certificates(self.directory / "fleet")
        install_security(load_security(self.files).unwrap())
        self.endpoint = PortReserver().reserve()
        status = StatusService("server", "rajkot", "balancer", lambda: 7, dict)
        server = ControlServer(self.endpoint, [status])
        await server.async_start()
        self.addAsyncCleanup(server.async_stop)

    async def test_process_of_the_fleet(self) -> None:
        """A process of the fleet receives a reply."""
        reply = await async_get_status(self.endpoint)
        self.assertEqual(reply.configuration_version, 7)

    async def test_certificate_of_another_authority(self) -> None:
        """A certificate of another authority is refused by both sides."""
        other = write_fleet_certificates(self.directory / "other")
        install_security(load_security(other).unwrap())
        await self.assert_refused()

    async def test_untrusted_certificate_with_fleet_authority(self) -> None:
        """A client that trusts the fleet's authority needs its certificate too."""
        other = write_fleet_certificates(self.directory / "other")
        forged = attrs.evolve(other, authority=self.files.authority)
        install_security(load_security(forged).unwrap())
        await self.assert_refused()

    async def test_connection_without_tls(self) -> None:
        """A plain TCP connection is refused."""
        install_security(PeerSecurity())
        await self.assert_refused()

    async def test_missing_file(self) -> None:
        """The error for a missing file names it."""
        files = attrs.evolve(self.files, certificate=Path("/nowhere.pem"))
        error = load_security(files).unwrap_err()
        self.assertIn("/nowhere.pem", str(error))

    async def assert_refused(self) -> None:
        """Assert that a status query fails."""
        failures = (OSError, GRPCError, StreamTerminatedError, TimeoutError)
        with self.assertRaises(failures):
            await async_get_status(self.endpoint)

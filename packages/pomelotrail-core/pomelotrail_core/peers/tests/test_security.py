"""Tests that strangers are kept out of control connections."""

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


async def async_ask(endpoint: Endpoint) -> StatusReply:
    """Ask for the status with what is installed."""
    channel = open_channel(endpoint)
    try:
        return await StatusStub(channel).Get(StatusRequest(), timeout=2)
    finally:
        channel.close()


class SecurityTest(unittest.IsolatedAsyncioTestCase):
    """Only processes with a certificate of the fleet can talk."""

    async def asyncSetUp(self) -> None:
        """Serve with the certificate of a fleet."""
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

    async def test_own_process(self) -> None:
        """A process of the fleet is answered."""
        reply = await async_ask(self.endpoint)
        self.assertEqual(reply.configuration_version, 7)

    async def test_stranger_with_another_authority(self) -> None:
        """A certificate of another authority is refused by both sides."""
        other = write_fleet_certificates(self.directory / "other")
        install_security(load_security(other).unwrap())
        await self.assert_refused()

    async def test_forged_trust(self) -> None:
        """A stranger that trusts the fleet is still not trusted by it."""
        other = write_fleet_certificates(self.directory / "other")
        forged = attrs.evolve(other, authority=self.files.authority)
        install_security(load_security(forged).unwrap())
        await self.assert_refused()

    async def test_stranger_without_tls(self) -> None:
        """Plain TCP gets nowhere."""
        install_security(PeerSecurity())
        await self.assert_refused()

    async def test_missing_file(self) -> None:
        """A file that is not there is an error that names it."""
        files = attrs.evolve(self.files, certificate=Path("/nowhere.pem"))
        error = load_security(files).unwrap_err()
        self.assertIn("/nowhere.pem", str(error))

    async def assert_refused(self) -> None:
        """Ask, and expect no answer."""
        failures = (OSError, GRPCError, StreamTerminatedError, TimeoutError)
        with self.assertRaises(failures):
            await async_ask(self.endpoint)

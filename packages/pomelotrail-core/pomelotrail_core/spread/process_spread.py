"""Sets up the spread of one process from its settings."""

import asyncio
import random
from datetime import timedelta
from typing import Any

import aiohttp

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import (
    Configuration,
    ConfigurationCoordinator,
    ServiceSource,
)
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.membership import Roster
from pomelotrail_core.settings.process_settings import ProcessSettings
from pomelotrail_core.timeline import Recorder

from .const import COMPARE_TIMEOUT
from .grpc_network import GrpcNetwork
from .report_taker import NoReports
from .service import SpreadService
from .spreader import Spreader, VersionComparison


class ProcessSpread:
    """The spread in a balancer or a companion."""

    def __init__(
        self,
        settings: ProcessSettings,
        coordinator: ConfigurationCoordinator,
        roster: Roster,
        clock: Clock,
        recorder: Recorder,
    ) -> None:
        """Make the parts that need no session."""
        self._source = ServiceSource(
            settings.configuration_service, lambda: coordinator.document
        )
        self._spreader = Spreader(
            settings.name,
            settings.zone,
            coordinator,
            self._source,
            GrpcNetwork(),
            clock,
            random.Random(),
            settings.peers,
        )
        self._handlers = [SpreadService(self._spreader.publisher, NoReports())]

    @property
    def handlers(self) -> list[Any]:
        """Return the grpclib services of the spread."""
        return list(self._handlers)

    @property
    def spreader(self) -> Spreader:
        """Return the part that reads, follows and feeds."""
        return self._spreader

    def start(self, session: aiohttp.ClientSession) -> asyncio.Task[None]:
        """Start to read and follow; cancel the task to stop."""
        self._source.use(session)
        return asyncio.create_task(self._spreader.async_run())

    async def async_wait_ready(self) -> Configuration:
        """Wait for the highest version that service and peers have."""
        return await self._spreader.async_wait_ready()

    async def async_compare_versions(
        self, timeout: timedelta = COMPARE_TIMEOUT
    ) -> VersionComparison:
        """Compare with peers and service, and adopt what is higher."""
        return await self._spreader.async_compare_versions(timeout)

    def hear_of(self, version: int, packets: Endpoint) -> None:
        """Take the version that a peer's packet carried."""
        self._spreader.hear_of(version, packets)

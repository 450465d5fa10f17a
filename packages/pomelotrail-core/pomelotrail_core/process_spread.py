"""Sets up the configuration spread and membership of a process."""

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
from pomelotrail_core.membership.heartbeats import Heartbeats
from pomelotrail_core.membership.monitor import Monitor
from pomelotrail_core.membership.monitor_table import MonitorTable
from pomelotrail_core.membership.role import MemberRole
from pomelotrail_core.membership.suspicion_counter import SuspicionCounter
from pomelotrail_core.membership.suspicion_views import (
    RosterSuspicion,
    SuspicionViewBuilder,
)
from pomelotrail_core.settings.process_settings import ProcessSettings
from pomelotrail_core.spread import (
    GrpcNetwork,
    Spreader,
    SpreadService,
    VersionComparison,
)
from pomelotrail_core.spread.const import COMPARE_TIMEOUT
from pomelotrail_core.timeline import Recorder


class ProcessSpread:
    """The configuration spread and membership of a balancer or a companion."""

    def __init__(
        self,
        settings: ProcessSettings,
        coordinator: ConfigurationCoordinator,
        roster: Roster,
        clock: Clock,
        recorder: Recorder,
        role: MemberRole,
    ) -> None:
        """Create the parts that need no HTTP session."""
        self._coordinator = coordinator
        network, rng = GrpcNetwork(), random.Random()
        self._source = ServiceSource(
            settings.configuration_service, lambda: coordinator.document
        )
        self._spreader = Spreader(
            settings.name,
            settings.zone,
            coordinator,
            self._source,
            network,
            clock,
            rng,
            settings.peers,
        )
        spreader = self._spreader
        suspicion_counter = SuspicionCounter(clock, lambda: coordinator.current)
        view_builder = SuspicionViewBuilder(
            settings.name, suspicion_counter, spreader.is_reader, clock
        )
        suspicion = RosterSuspicion(roster, lambda: coordinator.current)
        spreader.views.set_own_view(view_builder.view)
        spreader.views.add_listener(suspicion.apply_view)
        self._handlers: list[Any] = [SpreadService(spreader.publisher, view_builder)]
        self._monitor: Monitor | None = None
        self._heartbeats: Heartbeats | None = None
        if role is MemberRole.COMPANION:
            self._heartbeats = Heartbeats(settings.name, clock)
            coordinator.add_listener(self._heartbeats.configure)
            return
        self._monitor = Monitor(
            settings.name,
            MonitorTable(clock),
            lambda: spreader.tree,
            network,
            clock,
            recorder,
            rng,
        )
        coordinator.add_listener(self._monitor.configure)
        self._handlers.append(self._monitor)

    @property
    def handlers(self) -> list[Any]:
        """Return the grpclib services of the spread."""
        return list(self._handlers)

    @property
    def spreader(self) -> Spreader:
        """Return the spreader, which receives and forwards configurations."""
        return self._spreader

    async def async_run(self, session: aiohttp.ClientSession) -> None:
        """Run all parts until cancelled; may run again after a failure."""
        self._source.set_session(session)
        heartbeats, current = self._heartbeats, self._coordinator.current
        if heartbeats is not None and current is not None:
            heartbeats.configure(current)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._spreader.async_run())
                if self._monitor is not None:
                    group.create_task(self._monitor.async_run())
        finally:
            if heartbeats is not None:
                heartbeats.stop()

    async def async_wait_ready(self) -> Configuration:
        """Wait for a configuration, and for one comparison of versions with peers."""
        return await self._spreader.async_wait_ready()

    async def async_compare_versions(
        self, timeout: timedelta = COMPARE_TIMEOUT
    ) -> VersionComparison:
        """Compare versions with peers and service, and adopt a higher one."""
        return await self._spreader.async_compare_versions(timeout)

    def fetch_announced_version(self, version: int, packets: Endpoint) -> None:
        """Fetch a version that a peer announced in a packet, if it is newer."""
        self._spreader.fetch_announced_version(version, packets)

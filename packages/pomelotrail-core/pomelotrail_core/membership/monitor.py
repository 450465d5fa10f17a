"""Receive heartbeats in a balancer and report suspected companions."""

import asyncio
import random
import secrets
from collections.abc import Callable
from datetime import timedelta

from grpclib.exceptions import StreamTerminatedError
from grpclib.server import Stream
from result import Err, Ok

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import Configuration
from pomelotrail_core.logs import get_logger
from pomelotrail_core.spread.network import PeerNetwork
from pomelotrail_core.spread.spread_pb2 import SuspicionReport
from pomelotrail_core.spread.tree import SpreadTree
from pomelotrail_core.timeline import EventKind, Recorder

from .const import REPORT_INTERVAL_MIN, REPORT_REFRESH_MIN, SWEEP_INTERVAL
from .identity import process_id
from .membership_grpc import MonitorBase
from .membership_pb2 import Heartbeat, WatchReply
from .monitor_table import MonitorTable

_LOGGER = get_logger("membership")
_INCARNATION_BITS = 63


class Monitor(MonitorBase):
    """Monitors the companions that send heartbeats to this balancer."""

    def __init__(
        self,
        name: str,
        table: MonitorTable,
        tree: Callable[[], SpreadTree | None],
        network: PeerNetwork,
        clock: Clock,
        recorder: Recorder,
        rng: random.Random,
    ) -> None:
        """Report to the readers of ``tree``."""
        self._name = name
        self._table = table
        self._tree = tree
        self._network = network
        self._clock = clock
        self._recorder = recorder
        self._rng = rng
        self._incarnation = secrets.randbits(_INCARNATION_BITS)
        self._sequence = 0
        self._refresh = REPORT_REFRESH_MIN

    def configure(self, configuration: Configuration) -> None:
        """Remove companions that are no longer in the configuration."""
        self._table.keep_only(
            server.name
            for service in configuration.services
            for server in service.backend_servers
        )

    async def Watch(  # noqa: N802 (named by the protocol)
        self, stream: Stream[Heartbeat, WatchReply]
    ) -> None:
        """Receive the heartbeats of a companion until its stream ends."""
        name = ""
        try:
            async for heartbeat in stream:
                name = name or heartbeat.process
                self._table.record_heartbeat(name)
            await stream.send_message(WatchReply())
        except StreamTerminatedError:
            _LOGGER.debug("The stream of %s ended", name)
        finally:
            self._table.record_disconnect(name)

    async def async_run(self) -> None:
        """Evaluate the companions periodically; runs until cancelled."""
        reported: frozenset[str] = frozenset()
        reported_at = self._clock.monotonic()
        last_sweep_at = reported_at
        while True:
            await self._clock.async_sleep(SWEEP_INTERVAL * self._rng.uniform(0.8, 1.2))
            now = self._clock.monotonic()
            self._discount_pause(now - last_sweep_at)
            last_sweep_at = now
            self._table.sweep()
            suspected = self._table.suspected
            since = now - reported_at
            is_changed = suspected != reported and since >= REPORT_INTERVAL_MIN
            if is_changed or (suspected and since >= self._refresh):
                self._record(reported, suspected)
                reported, reported_at = suspected, now
                await self._async_report(suspected)

    def _discount_pause(self, elapsed: timedelta) -> None:
        """Treat a long interval between two sweeps as a pause of this process."""
        if elapsed > 3 * SWEEP_INTERVAL:
            self._table.discount_own_pause(elapsed)

    def _record(self, before: frozenset[str], now: frozenset[str]) -> None:
        """Record the changes on the timeline."""
        for name in sorted(now - before):
            self._recorder.record(EventKind.SUSPECTED, detail=name)
        for name in sorted(before - now):
            self._recorder.record(EventKind.TRUSTED, detail=name)

    async def _async_report(self, suspected: frozenset[str]) -> None:
        """Report to one reader in each zone."""
        tree = self._tree()
        if tree is None:
            return
        self._sequence += 1
        report = SuspicionReport(
            monitor=self._name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            suspected=sorted(process_id(name) for name in suspected),
        )
        await asyncio.gather(
            *(self._async_report_to_zone(tree, zone, report) for zone in tree.zones)
        )

    async def _async_report_to_zone(
        self, tree: SpreadTree, zone: str, report: SuspicionReport
    ) -> None:
        """Report to the first reader of a zone that answers."""
        for reader in tree.readers(zone):
            match await self._network.async_report(reader.control, report):
                case Ok(reply):
                    refresh = timedelta(milliseconds=reply.refresh_milliseconds)
                    self._refresh = max(refresh, REPORT_REFRESH_MIN)
                    return
                case Err(error):
                    _LOGGER.debug("%s", error)

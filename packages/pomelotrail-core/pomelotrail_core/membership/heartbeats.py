"""Send heartbeats from a companion to its monitors."""

import asyncio
from collections.abc import Sequence

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import Configuration
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import get_logger
from pomelotrail_core.peers import open_channel

from .const import HEARTBEAT_INTERVAL, RECONNECT_DELAY
from .membership_grpc import MonitorStub
from .membership_pb2 import Heartbeat
from .monitor_choice import choose_monitors

_LOGGER = get_logger("membership")
_FAILURES = (OSError, GRPCError, ProtocolError, StreamTerminatedError)


class Heartbeats:
    """Maintains one heartbeat stream to each monitor of this companion."""

    def __init__(self, name: str, clock: Clock) -> None:
        """Initialize the heartbeats of the named process."""
        self._name = name
        self._clock = clock
        self._tasks: dict[Endpoint, asyncio.Task[None]] = {}

    @property
    def monitors(self) -> Sequence[Endpoint]:
        """Return the control addresses that receive heartbeats."""
        return tuple(self._tasks)

    def configure(self, configuration: Configuration) -> None:
        """Start streams to new monitors and stop the streams to others."""
        chosen = choose_monitors(self._name, configuration.balancers)
        endpoints = {balancer.control for balancer in chosen}
        for endpoint in set(self._tasks) - endpoints:
            self._tasks.pop(endpoint).cancel()
        for endpoint in endpoints - set(self._tasks):
            self._tasks[endpoint] = asyncio.create_task(self._async_send(endpoint))

    def stop(self) -> None:
        """Stop all streams."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()

    async def _async_send(self, monitor: Endpoint) -> None:
        """Send heartbeats to one monitor; reconnect after each failure."""
        while True:
            channel = open_channel(monitor)
            try:
                async with MonitorStub(channel).Watch.open() as stream:
                    await stream.send_message(Heartbeat(process=self._name))
                    while True:
                        await self._clock.async_sleep(HEARTBEAT_INTERVAL)
                        await stream.send_message(Heartbeat())
            except _FAILURES as error:
                _LOGGER.debug("Monitor %s: %s", monitor, error)
            finally:
                channel.close()
            await self._clock.async_sleep(RECONNECT_DELAY)

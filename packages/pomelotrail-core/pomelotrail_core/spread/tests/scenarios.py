"""Run scenarios with a fleet of fake peers in virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from harness.virtual_time import run_in_virtual_time
from pomelotrail_core.spread.const import PARENT_TIMEOUT, RETRY_MAX

from .fakes import FakeFleet

IN_FORCE_SECONDS: Final = 3.0
CONTROL_BYTES_PER_S: Final = 3_000
# Time for an unresponsive parent to time out and a few candidates to be tried in turn.
RECOVERY_SECONDS: Final = (PARENT_TIMEOUT + 8 * RETRY_MAX).total_seconds()
SERVERS: Final = 100
FEW_SERVERS: Final = 20
BALANCERS: Final = 20
ZONES: Final = 5

Scenario = Callable[[FakeFleet], Awaitable[None]]


def run_fleet(scenario: Scenario, servers: int = SERVERS) -> None:
    """Run a scenario with a fleet that has version 1 in force."""

    async def _async_main() -> None:
        fleet = FakeFleet(servers, BALANCERS, ZONES)
        fleet.publish()
        fleet.start()
        try:
            await fleet.async_wait_for(1, RECOVERY_SECONDS)
            await asyncio.sleep(PARENT_TIMEOUT.total_seconds())
            await scenario(fleet)
        finally:
            await fleet.async_stop()

    run_in_virtual_time(_async_main())

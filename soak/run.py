"""Runs one seed."""

import asyncio
from pathlib import Path
from typing import Any

import attrs

from .bursts import BurstCallers
from .checks import InvariantChecker
from .const import (
    CALLERS_BESIDE_BURSTS,
    CALLERS_PER_SERVICE,
    COLD_PROPAGATION_S,
    CONFIGURATION_BOUND_S,
    DRAIN_BOUND_S,
    MOVING_PORT,
    PORTS,
    QUIET_PERIOD_S,
    RECOVERY_S,
    ZONE_BOUND_S,
    ZONES,
)
from .endpoints import RequestResult
from .faults import FaultInjector
from .fleet import SoakFleet
from .process_checks import ProcessChecker
from .schedule import Fault, FaultKind, get_other_service
from .vms import BackendVM

_REQUEST_INTERVAL_S = 0.15
_CHECK_INTERVAL_S = 0.2
_FULL_SERVICE_CHECK_S = 2.0
# More flows than a cold server and the other servers can accept.
_COLD_SERVER_FLOWS = 100


@attrs.define
class SeedResult:
    """Result of one seed."""

    seed: int
    violations: list[str]
    requests: dict[str, int]
    flows: int
    faults: list[str]


class SeedRun:
    """Run of one seed: callers, faults and the checks after them."""

    def __init__(self, fleet: SoakFleet, faults: list[Fault]) -> None:
        """Initialize with a started fleet."""
        self._fleet = fleet
        self._faults = faults
        self._checker = InvariantChecker(fleet)
        self._injector = FaultInjector(fleet, self._checker)
        self._process_checker = ProcessChecker(fleet)
        self._is_finished = False
        self._must_serve = False

    async def async_run(self, seed: int) -> SeedResult:
        """Inject all faults, then check the fleet without faults."""
        asyncio.get_running_loop().set_exception_handler(self._record_exception)
        ports = [*PORTS.values(), MOVING_PORT]
        callers = (
            CALLERS_BESIDE_BURSTS if self._fleet.has_bursts else CALLERS_PER_SERVICE
        )
        tasks = [
            asyncio.create_task(self._async_run_caller(port, f"{port}-{index}"))
            for port in ports
            for index in range(callers)
        ]
        tasks.append(asyncio.create_task(self._async_check_periodically()))
        probes = self._process_checker.async_probe_regularly()
        tasks.append(asyncio.create_task(probes))
        await self._injector.async_inject(self._faults)
        await self._async_check_after_faults()
        self._is_finished = True
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._checker.check_servers()
        self._checker.violations += await self._process_checker.async_check_stops()
        return SeedResult(
            seed,
            [*self._fleet.bad_ends, *self._checker.violations],
            dict(self._checker.result_counts),
            self._checker.opened_flows,
            [each.value for each in self._injector.injected],
        )

    def _record_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Record an exception in a callback, since the soak has missed something."""
        problem = context.get("exception", context["message"])
        self._checker.violations.append(f"exception in the soak: {problem!r}")

    async def _async_check_after_faults(self) -> None:
        """Drain a server, take out a zone and change a route, without faults."""
        fleet = self._fleet
        await asyncio.sleep(QUIET_PERIOD_S)
        drained, zone = self._choose_removals()
        fleet.drain(drained)
        fleet.publisher.take_out_zone(zone)
        changed = fleet.now
        await self._async_check_configuration()
        await asyncio.sleep(changed + RECOVERY_S - QUIET_PERIOD_S - fleet.now)
        self._must_serve = True
        await asyncio.sleep(_FULL_SERVICE_CHECK_S)
        self._checker.violations += await self._process_checker.async_check_services()
        if fleet.has_bursts:
            await BurstCallers(fleet, self._checker).async_check_served()
        self._must_serve = False
        cold = next(x for x in fleet.backend_vms if x.zone != zone and x is not drained)
        fleet.start_server(cold, is_cold=True)
        await asyncio.sleep(COLD_PROPAGATION_S)
        await self._async_open_flows(PORTS[cold.server.service], _COLD_SERVER_FLOWS)
        out_vms = [each for each in fleet.backend_vms if each.zone == zone]
        self._checker.check_servers()
        self._checker.check_no_opening_packets(
            changed + DRAIN_BOUND_S, [drained], "drain"
        )
        self._checker.check_no_opening_packets(changed + ZONE_BOUND_S, out_vms, "zone")
        # Takes long enough for all requests that must be answered to end.
        await self._async_check_configuration()

    async def _async_check_configuration(self) -> None:
        """Change the moving route, and open flows once the version is in force."""
        fleet = self._fleet
        fleet.moving_route_service = get_other_service(fleet.moving_route_service)
        fleet.publish()
        changed = fleet.now
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        await self._async_open_flows(MOVING_PORT, CALLERS_PER_SERVICE)
        self._checker.check_moving_route(changed + CONFIGURATION_BOUND_S)

    def _choose_removals(self) -> tuple[BackendVM, str]:
        """Return a server to drain and a zone to take out.

        The remaining servers cover both services.
        """
        backend_vms = self._fleet.backend_vms
        for drained in backend_vms:
            for zone in ZONES:
                rest = [x for x in backend_vms if x.zone != zone and x is not drained]
                if drained.zone != zone and len({x.server.service for x in rest}) > 1:
                    return drained, zone
        return backend_vms[0], ""

    async def _async_open_flows(self, port: int, flows: int) -> None:
        """Open several flows at the same time."""
        callers = [self._fleet.create_caller(port) for _ in range(flows)]
        await asyncio.gather(*(each.async_open() for each in callers))

    async def _async_check_periodically(self) -> None:
        """Check the servers at a fixed interval."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._checker.check_servers()

    async def _async_run_caller(self, port: int, name: str) -> None:
        """Open flows and send many requests on each, until the run ends."""
        number = 0
        while not self._is_finished:
            caller = self._fleet.create_caller(port)
            must_open = self._must_serve
            if not await caller.async_open():
                self._checker.check_unopened_flow(must_open)
                await asyncio.sleep(_REQUEST_INTERVAL_S)
                continue
            self._checker.opened_flows += 1
            result = RequestResult.ANSWERED
            while (
                result is RequestResult.ANSWERED and self._fleet.random.random() < 0.97
            ):
                number += 1
                must_answer = self._must_serve
                request = f"{name}/{caller.packed_address.hex()}/{number}".encode()
                result = await caller.async_send_until_answered(request)
                self._checker.check_request(caller, result, must_answer)
                await asyncio.sleep(_REQUEST_INTERVAL_S)


async def async_run_seed(
    seed: int,
    faults: list[Fault],
    processes: int,
    prelude: str,
    folder: Path,
    launcher: Path | None = None,
) -> SeedResult:
    """Run one seed, with logs in a folder."""
    has_bursts = any(each.kind is FaultKind.BURST for each in faults)
    fleet = SoakFleet(folder, seed, processes, prelude, launcher, has_bursts)
    try:
        await fleet.async_start()
        return await SeedRun(fleet, faults).async_run(seed)
    except TimeoutError:
        problem = f"{fleet.now:.2f} a process did not get ready"
        return SeedResult(seed, [*fleet.bad_ends, problem], {}, 0, [])
    finally:
        await fleet.async_stop()

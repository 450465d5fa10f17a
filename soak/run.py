"""Plays one seed."""

import asyncio
from pathlib import Path

import attrs

from .checks import Checks
from .const import (
    CALLERS_PER_SERVICE,
    CALM_S,
    COLD_NOTICE_S,
    CONFIGURATION_BOUND_S,
    DRAIN_BOUND_S,
    MOVING_PORT,
    PORTS,
    RECOVERY_S,
    ZONE_BOUND_S,
    ZONES,
)
from .ends import Reply
from .faults import FaultPlayer
from .schedule import Fault, other_service
from .world import Side, World

_PAUSE_S = 0.15
_LOOK_S = 0.2
_EXAM_S = 2.0
# More than a cold server and its neighbours bear.
_BURST = 100


@attrs.define
class Outcome:
    """What one seed showed."""

    seed: int
    broken: list[str]
    requests: dict[str, int]
    flows: int
    faults: list[str]


class Run:
    """Callers, faults and the exam after them."""

    def __init__(self, world: World, faults: list[Fault]) -> None:
        """Prepare a run."""
        self._world = world
        self._faults = faults
        self._player = FaultPlayer(world)
        self._checks = Checks(world)
        self._is_over = False
        self._must_serve = False

    async def async_play(self, seed: int) -> Outcome:
        """Play all faults, then check what must hold in calm."""
        ports = [*PORTS.values(), MOVING_PORT]
        work = [
            asyncio.create_task(self._async_call(port, f"{port}-{index}"))
            for port in ports
            for index in range(CALLERS_PER_SERVICE)
        ]
        work.append(asyncio.create_task(self._async_look()))
        await self._player.async_play(self._faults)
        await self._async_exam()
        self._is_over = True
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)
        self._checks.look()
        return Outcome(
            seed,
            self._checks.broken,
            dict(self._checks.replies),
            self._checks.flows,
            [each.value for each in self._player.played],
        )

    async def _async_exam(self) -> None:
        """Change everything once while nothing disturbs it."""
        world = self._world
        await asyncio.sleep(CALM_S)
        leaving, zone = self._choose_absent()
        world.drain(leaving)
        world.publisher.take_out_zone(zone)
        changed = world.now
        await self._async_check_configuration()
        await asyncio.sleep(changed + RECOVERY_S - CALM_S - world.now)
        self._must_serve = True
        await asyncio.sleep(_EXAM_S)
        self._must_serve = False
        cold = next(x for x in world.sides if x.zone != zone and x is not leaving)
        world.start_server(cold, is_cold=True)
        await asyncio.sleep(COLD_NOTICE_S)
        await self._async_burst(PORTS[cold.server.service], _BURST)
        out = [each for each in world.sides if each.zone == zone]
        self._checks.look()
        self._checks.check_no_openings(changed + DRAIN_BOUND_S, [leaving], "drain")
        self._checks.check_no_openings(changed + ZONE_BOUND_S, out, "zone")
        # By its end, requests of the time when all must be answered have ended.
        await self._async_check_configuration()

    async def _async_check_configuration(self) -> None:
        """Lead the moving route elsewhere, and open flows once that is in force."""
        world = self._world
        world.moving = other_service(world.moving)
        world.publish()
        changed = world.now
        await asyncio.sleep(CONFIGURATION_BOUND_S)
        await self._async_burst(MOVING_PORT, CALLERS_PER_SERVICE)
        self._checks.check_moving_route(changed + CONFIGURATION_BOUND_S)

    def _choose_absent(self) -> tuple[Side, str]:
        """Return a server to drain and a zone to take out, so that others serve."""
        sides = self._world.sides
        for leaving in sides:
            for zone in ZONES:
                rest = [x for x in sides if x.zone != zone and x is not leaving]
                if leaving.zone != zone and len({x.server.service for x in rest}) > 1:
                    return leaving, zone
        return sides[0], ""

    async def _async_burst(self, port: int, flows: int) -> None:
        """Open flows at once."""
        callers = [self._world.caller(port) for _ in range(flows)]
        await asyncio.gather(*(each.async_open() for each in callers))

    async def _async_look(self) -> None:
        """Check regularly what servers saw."""
        while True:
            await asyncio.sleep(_LOOK_S)
            self._checks.look()

    async def _async_call(self, port: int, name: str) -> None:
        """Open flows and keep them for many requests, until cancelled."""
        number = 0
        while not self._is_over:
            caller = self._world.caller(port)
            must_open = self._must_serve
            if not await caller.async_open():
                self._checks.note_refused(must_open)
                await asyncio.sleep(_PAUSE_S)
                continue
            self._checks.flows += 1
            reply = Reply.ANSWERED
            while reply is Reply.ANSWERED and self._world.random.random() < 0.97:
                number += 1
                must_answer = self._must_serve
                question = f"{name}/{caller.packed_address.hex()}/{number}".encode()
                reply = await caller.async_ask_once(question)
                self._checks.note_reply(caller, reply, must_answer)
                await asyncio.sleep(_PAUSE_S)


async def async_run_seed(
    seed: int, faults: list[Fault], network: int, processes: int, prelude: str, to: Path
) -> Outcome:
    """Play one seed on a loopback network of its own, with logs in a folder."""
    world = World(network, to, seed, processes, prelude)
    try:
        await world.async_start()
        return await Run(world, faults).async_play(seed)
    finally:
        await world.async_stop()

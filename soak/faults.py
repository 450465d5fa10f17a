"""Does what a schedule says to a world."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from .links import Harm
from .schedule import Fault, Kind, other_service
from .world import Entry, Side, World

ItemT = TypeVar("ItemT")
_SLOW_S = 0.15
_LOSS = 0.2
_DRAIN_S = 4.5


class FaultPlayer:
    """Applies faults, which may overlap, and heals everything at the end."""

    def __init__(self, world: World) -> None:
        """Harm a world."""
        self._world = world
        self._tasks: set[asyncio.Task] = set()
        self.disturbed_until = 0.0
        self.played: list[Kind] = []

    async def async_play(self, faults: Sequence[Fault]) -> None:
        """Begin each fault at its time; return when all have ended."""
        began = self._world.now
        for fault in faults:
            await asyncio.sleep(max(0.0, began + fault.at - self._world.now))
            self.played.append(fault.kind)
            task = asyncio.create_task(self._async_apply(fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        self.disturbed_until = self._world.now

    async def _async_apply(self, fault: Fault) -> None:
        """Apply one fault until its end."""
        self.disturbed_until = max(self.disturbed_until, self._world.now + fault.for_s)
        handlers: dict[Kind, Callable[[Fault], Awaitable[None]]] = {
            Kind.TERMINATE: self._async_terminate,
            Kind.KILL: self._async_kill,
            Kind.FREEZE: self._async_freeze,
            Kind.RELOAD: self._async_reload,
            Kind.HERD_KILL: self._async_herd_kill,
            Kind.ROLL: self._async_roll,
            Kind.SERVER_CRASH: self._async_server_crash,
            Kind.SERVER_REPLACE: self._async_server_replace,
            Kind.ADDRESS_REUSE: self._async_address_reuse,
            Kind.SERVER_ADD: self._async_server_add,
            Kind.ZONE_OUT: self._async_zone_out,
            Kind.CONFIGURATION: self._async_configuration,
            Kind.STORE_FORGETS: self._async_store_forgets,
            Kind.STORE_RESETS: self._async_store_resets,
        }
        handler = handlers.get(fault.kind)
        if handler is not None:
            await handler(fault)
        elif fault.kind.value.startswith("link"):
            await self._async_harm_link(fault)
        else:
            await self._async_harm_store(fault)
        self.disturbed_until = max(self.disturbed_until, self._world.now)

    def _side(self, fault: Fault) -> Side:
        """Return the backend server's VM that a fault picks."""
        return _pick(self._world.sides, fault)

    def _entry(self, fault: Fault) -> Entry:
        """Return the balancer's VM that a fault picks."""
        return _pick(self._world.entries, fault)

    async def _async_terminate(self, fault: Fault) -> None:
        """Stop and start one process."""
        process = _pick(self._world.processes, fault)
        await self._world.async_restart(process, signal.SIGTERM)

    async def _async_kill(self, fault: Fault) -> None:
        """Kill and start one process."""
        process = _pick(self._world.processes, fault)
        await self._world.async_restart(process, signal.SIGKILL)

    async def _async_freeze(self, fault: Fault) -> None:
        """Let one process stand still."""
        process = _pick(self._world.processes, fault)
        if process.is_running:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
        if process.is_running:
            process.send_signal(signal.SIGCONT)

    async def _async_reload(self, fault: Fault) -> None:
        """Send SIGHUP to one process that has started long ago."""
        process = _pick(self._world.processes, fault)
        if process.is_running and any(process.lines()):
            process.send_signal(signal.SIGHUP)

    async def _async_herd_kill(self, fault: Fault) -> None:
        """Kill half of all processes at once."""
        chosen = [x for x in self._world.processes if self._world.random.random() < 0.5]
        restart = self._world.async_restart
        await asyncio.gather(*(restart(each, signal.SIGKILL) for each in chosen))

    async def _async_roll(self, fault: Fault) -> None:
        """Stop and start the balancers one after the other."""
        for entry in self._world.entries:
            await self._world.async_restart(entry.process, signal.SIGTERM)

    async def _async_server_crash(self, fault: Fault) -> None:
        """Let a backend server lose its flows and start again, cold."""
        self._world.start_server(self._side(fault), is_cold=True)

    async def _async_server_replace(self, fault: Fault) -> None:
        """Let a backend server drain, end, and start anew."""
        side = self._side(fault)
        identity = side.identity
        self._world.drain(side)
        await asyncio.sleep(_DRAIN_S)
        if side.identity == identity:
            self._world.start_server(side)

    async def _async_server_add(self, fault: Fault) -> None:
        """Let a backend server register at an address that was never used."""
        self._world.add_server()

    async def _async_address_reuse(self, fault: Fault) -> None:
        """Give the address of a backend server to the other service."""
        side = self._side(fault)
        service = other_service(side.server.service)
        peers = [x for x in self._world.sides if x.server.service != service]
        if len(peers) > 1:
            await self._world.async_reuse_address(side, service)

    async def _async_zone_out(self, fault: Fault) -> None:
        """Take a zone out, and bring it back."""
        zone = self._side(fault).zone
        if self._world.zones_out:
            return
        self._world.zones_out[zone] = self._world.now
        self._world.publisher.take_out_zone(zone)
        await asyncio.sleep(fault.for_s)
        self._world.publisher.restore_zone(zone)
        self._world.zones_out.pop(zone, None)

    async def _async_configuration(self, fault: Fault) -> None:
        """Publish a version that gives the moving route to the other service."""
        self._world.moving = other_service(self._world.moving)
        self._world.publish()

    async def _async_store_forgets(self, fault: Fault) -> None:
        """Discard the store's history."""
        self._world.store.forget_history()

    async def _async_store_resets(self, fault: Fault) -> None:
        """Reset the connections of one process to the store."""
        self._entry(fault).store.reset()

    async def _async_harm_link(self, fault: Fault) -> None:
        """Harm the datagrams between a balancer and a companion, or all of hers."""
        links = [self._side(fault).link] if fault.pick < 0.5 else None
        entry = self._entry(fault)
        chosen = links or [each.link for each in self._world.sides]
        harms = [each.harms[entry.process.host] for each in chosen]
        for harm in harms:
            _harm_link(harm, fault)
        await asyncio.sleep(fault.for_s)
        for harm in harms:
            harm.heal()

    async def _async_harm_store(self, fault: Fault) -> None:
        """Harm the store for all processes or for one."""
        trouble = self._world.store.faults
        link = self._entry(fault).store.harm
        match fault.kind:
            case Kind.STORE_DOWN:
                trouble.status = 503
            case Kind.STORE_SILENT:
                trouble.delay_s = fault.for_s
            case Kind.STORE_SLOW:
                trouble.delay_s = _SLOW_S
            case Kind.STORE_REFUSES_SOME:
                link.cut_there = link.cut_back = True
            case Kind.STORE_ONE_WAY:
                link.cut_back = True
        await asyncio.sleep(fault.for_s)
        trouble.status, trouble.delay_s = 0, 0.0
        link.heal()


def _pick(items: Sequence[ItemT], fault: Fault) -> ItemT:
    """Return the item that a fault picks."""
    return items[int(fault.pick * len(items))]


def _harm_link(harm: Harm, fault: Fault) -> None:
    """Harm one direction or both."""
    match fault.kind:
        case Kind.LINK_CUT:
            harm.cut_there = harm.cut_back = True
        case Kind.LINK_ONE_WAY:
            harm.cut_there = fault.for_s < 1.5
            harm.cut_back = not harm.cut_there
        case Kind.LINK_DELAY:
            harm.delay_s = _SLOW_S
        case Kind.LINK_LOSS:
            harm.loss = _LOSS

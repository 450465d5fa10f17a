"""Injects the faults of a schedule into a fleet."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from .bursts import BurstCallers
from .checks import InvariantChecker
from .const import REWRITE_BOUND_S
from .fleet import SoakFleet
from .links import Impairment
from .machine_faults import MachineFaults
from .schedule import Fault, FaultKind, get_other_service
from .vms import BackendVM, BalancerVM

ItemT = TypeVar("ItemT")
_DELAY_S = 0.15
_LOSS_PROBABILITY = 0.2
_DRAIN_DURATION_S = 4.5
_RESTORE_OUTAGE_S = 0.3
# Shorter faults of another writer write an entry that can't be decoded.
_UNREADABLE_ENTRY_S = 1.0


class FaultInjector:
    """Injects faults, which may overlap, and ends each after its duration."""

    def __init__(self, fleet: SoakFleet, checker: InvariantChecker) -> None:
        """Initialize with the fleet, and what checks the callers of bursts."""
        self._fleet = fleet
        self._burst_callers = BurstCallers(fleet, checker)
        self._machine_handlers = MachineFaults(fleet).handlers
        self._tasks: set[asyncio.Task] = set()
        self.disturbed_until = 0.0
        self.injected: list[FaultKind] = []

    async def async_inject(self, faults: Sequence[Fault]) -> None:
        """Start each fault at its time; return when all have ended."""
        start = self._fleet.now
        for fault in faults:
            await asyncio.sleep(max(0.0, start + fault.at - self._fleet.now))
            self.injected.append(fault.kind)
            task = asyncio.create_task(self._async_inject_one(fault))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)
        self.disturbed_until = self._fleet.now

    async def _async_inject_one(self, fault: Fault) -> None:
        """Inject one fault until its end."""
        self.disturbed_until = max(self.disturbed_until, self._fleet.now + fault.for_s)
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.TERMINATE: self._async_terminate,
            FaultKind.KILL: self._async_kill,
            FaultKind.FREEZE: self._async_freeze,
            FaultKind.RELOAD: self._async_reload,
            FaultKind.HERD_KILL: self._async_herd_kill,
            FaultKind.ROLL: self._async_roll,
            FaultKind.SERVER_CRASH: self._async_server_crash,
            FaultKind.SERVER_REPLACE: self._async_server_replace,
            FaultKind.ADDRESS_REUSE: self._async_address_reuse,
            FaultKind.SERVER_ADD: self._async_server_add,
            FaultKind.ZONE_OUT: self._async_zone_out,
            FaultKind.CONFIGURATION: self._async_configuration,
            FaultKind.STORE_FORGETS: self._async_store_forgets,
            FaultKind.STORE_RESETS: self._async_store_resets,
            FaultKind.STORE_RESTORED: self._async_store_restored,
            FaultKind.ROLL_ALL: self._async_roll_all,
            FaultKind.FOREIGN_ENTRY: self._async_foreign_entry,
            FaultKind.BURST: self._burst_callers.async_press,
        }
        handler = handlers.get(fault.kind)
        machine_handler = self._machine_handlers.get(fault.kind)
        if handler is not None:
            await handler(fault)
        elif machine_handler is not None:
            await machine_handler(fault, _pick(self._fleet.processes, fault))
        elif fault.kind.value.startswith("link"):
            await self._async_impair_link(fault)
        else:
            await self._async_impair_store(fault)
        self.disturbed_until = max(self.disturbed_until, self._fleet.now)

    def _pick_backend_vm(self, fault: Fault) -> BackendVM:
        """Return the VM of the backend server that a fault targets."""
        return _pick(self._fleet.backend_vms, fault)

    def _pick_balancer_vm(self, fault: Fault) -> BalancerVM:
        """Return the VM of the balancer that a fault targets."""
        return _pick(self._fleet.balancer_vms, fault)

    async def _async_terminate(self, fault: Fault) -> None:
        """Stop one process by SIGTERM and restart it."""
        process = _pick(self._fleet.processes, fault)
        await self._fleet.async_restart(process, signal.SIGTERM)

    async def _async_kill(self, fault: Fault) -> None:
        """Kill one process and restart it."""
        process = _pick(self._fleet.processes, fault)
        await self._fleet.async_restart(process, signal.SIGKILL)

    async def _async_freeze(self, fault: Fault) -> None:
        """Suspend one process by SIGSTOP and resume it."""
        process = _pick(self._fleet.processes, fault)
        if process.is_running:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_s)
        if process.is_running:
            process.send_signal(signal.SIGCONT)

    async def _async_reload(self, fault: Fault) -> None:
        """Send SIGHUP to one process that has begun its start."""
        _pick(self._fleet.processes, fault).send_to_running(signal.SIGHUP)

    async def _async_herd_kill(self, fault: Fault) -> None:
        """Kill each process with a probability of one half, all at once."""
        killed = [x for x in self._fleet.processes if self._fleet.random.random() < 0.5]
        restart = self._fleet.async_restart
        await asyncio.gather(*(restart(each, signal.SIGKILL) for each in killed))

    async def _async_roll(self, fault: Fault) -> None:
        """Restart the balancers one after the other."""
        for balancer_vm in self._fleet.balancer_vms:
            await self._fleet.async_restart(balancer_vm.process, signal.SIGTERM)

    async def _async_roll_all(self, fault: Fault) -> None:
        """Restart all processes one after the other, the companions first."""
        for vm in (*self._fleet.backend_vms, *self._fleet.balancer_vms):
            await self._fleet.async_restart(vm.process, signal.SIGTERM)

    async def _async_foreign_entry(self, fault: Fault) -> None:
        """Let another writer write an entry for a VM, readable or not."""
        vm = self._pick_backend_vm(fault)
        key = f"inventory-{vm.index}"
        if fault.for_s < _UNREADABLE_ENTRY_S:
            self._fleet.store.write(f"servers/{key}", b'{"tags": ' + b"[" * 2_000)
        else:
            self._fleet.publish_foreign_entry(key, vm)
        await asyncio.sleep(fault.for_s)
        self._fleet.publisher.remove_server(key)

    async def _async_server_crash(self, fault: Fault) -> None:
        """Restart a backend server without flows and cold."""
        self._fleet.start_server(self._pick_backend_vm(fault), is_cold=True)

    async def _async_server_replace(self, fault: Fault) -> None:
        """Drain a backend server, then replace it."""
        vm = self._pick_backend_vm(fault)
        server_id = vm.server_id
        self._fleet.drain(vm)
        await asyncio.sleep(_DRAIN_DURATION_S)
        if vm.server_id == server_id:
            self._fleet.start_server(vm)

    async def _async_server_add(self, fault: Fault) -> None:
        """Register a backend server at an address that was never used."""
        self._fleet.add_server()

    async def _async_address_reuse(self, fault: Fault) -> None:
        """Reassign the address of a backend server to the other service."""
        vm = self._pick_backend_vm(fault)
        service = get_other_service(vm.server.service)
        peers = [x for x in self._fleet.backend_vms if x.server.service != service]
        if len(peers) > 1:
            await self._fleet.async_reuse_address(vm, service)

    async def _async_zone_out(self, fault: Fault) -> None:
        """Take a zone out of service, and restore it."""
        zone = self._pick_backend_vm(fault).zone
        if self._fleet.zones_out:
            return
        self._fleet.zones_out[zone] = self._fleet.now
        self._fleet.publisher.take_out_zone(zone)
        await asyncio.sleep(fault.for_s)
        self._fleet.publisher.restore_zone(zone)
        self._fleet.zones_out.pop(zone, None)

    async def _async_configuration(self, fault: Fault) -> None:
        """Publish a version in which the moving route uses the other service."""
        self._fleet.moving_route_service = get_other_service(
            self._fleet.moving_route_service
        )
        self._fleet.publish()

    async def _async_store_forgets(self, fault: Fault) -> None:
        """Discard the history of the store."""
        self._fleet.store.forget_history()

    async def _async_store_resets(self, fault: Fault) -> None:
        """Reset the connections of one balancer to the store."""
        self._pick_balancer_vm(fault).store.reset()

    async def _async_store_restored(self, fault: Fault) -> None:
        """Lose what is written meanwhile, until it is written again."""
        store = self._fleet.store
        copy = store.copy()
        await asyncio.sleep(fault.for_s)
        store.faults.status = 503
        await asyncio.sleep(_RESTORE_OUTAGE_S)
        lost = store.restore(copy)
        store.faults.status = 0
        await asyncio.sleep(fault.pick * REWRITE_BOUND_S)
        store.write_again(lost, copy)

    async def _async_impair_link(self, fault: Fault) -> None:
        """Impair the links between a balancer and one companion or all of them."""
        links = [self._pick_backend_vm(fault).link] if fault.pick < 0.5 else None
        balancer_vm = self._pick_balancer_vm(fault)
        chosen_links = links or [each.link for each in self._fleet.backend_vms]
        impairments = [
            each.impairments[balancer_vm.process.host] for each in chosen_links
        ]
        for impairment in impairments:
            _impair_link(impairment, fault)
        await asyncio.sleep(fault.for_s)
        for impairment in impairments:
            impairment.clear()

    async def _async_impair_store(self, fault: Fault) -> None:
        """Make the store fail for all processes, or impair the link of one balancer."""
        store_faults = self._fleet.store.faults
        impairment = self._pick_balancer_vm(fault).store.impairment
        match fault.kind:
            case FaultKind.STORE_DOWN:
                store_faults.status = 503
            case FaultKind.STORE_SILENT:
                store_faults.delay_s = fault.for_s
            case FaultKind.STORE_SLOW:
                store_faults.delay_s = _DELAY_S
            case FaultKind.STORE_REFUSES_SOME:
                impairment.forward_cut = impairment.return_cut = True
            case FaultKind.STORE_ONE_WAY:
                impairment.return_cut = True
        await asyncio.sleep(fault.for_s)
        store_faults.status, store_faults.delay_s = 0, 0.0
        impairment.clear()


def _pick(items: Sequence[ItemT], fault: Fault) -> ItemT:
    """Return the item that a fault targets."""
    return items[int(fault.pick * len(items))]


def _impair_link(impairment: Impairment, fault: Fault) -> None:
    """Impair one direction of a link or both."""
    match fault.kind:
        case FaultKind.LINK_CUT:
            impairment.forward_cut = impairment.return_cut = True
        case FaultKind.LINK_ONE_WAY:
            impairment.forward_cut = fault.for_s < 1.5
            impairment.return_cut = not impairment.forward_cut
        case FaultKind.LINK_DELAY:
            impairment.delay_s = _DELAY_S
        case FaultKind.LINK_LOSS:
            impairment.loss_probability = _LOSS_PROBABILITY

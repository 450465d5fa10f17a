"""A fleet whose servers change while each balancer reads the store at its own pace.

Tests drive it step by step; the store's list grows with each change, and a
balancer believes what it read last::

    fleet = ChangingFleet(balancers=2, servers=3, spare=1)
    fleet.register_server(3)
    await fleet.async_open(balancer=1, count=3)
    await fleet.async_ask(balancer=0)
"""

import asyncio
from typing import Final

import msgspec

from harness.flow_fleet import FIRST_REVISION, SERVICE_ADDRESS, FlowFleet
from pomelotrail_core.directory import (
    BackendServer,
    ConfigurationItem,
    Directory,
    Listing,
    RemovedItem,
    ServerItem,
)
from pomelotrail_core.endpoint import pack_address
from stand_ins.flows import StandInCaller

# Ending one process and loading the next takes longer than the time in which a
# companion counts as started together with its server.
RESTART_S: Final = 0.4


class ChangingFleet:
    """Balancers that lag behind the store, and callers that change balancers."""

    def __init__(self, balancers: int, servers: int, spare: int) -> None:
        """Start with directories that hold everything but the spare servers."""
        self.fleet = FlowFleet(balancers, servers + spare)
        self.callers: list[StandInCaller] = []
        self.resets_of_living_flows = 0
        self.fleet.on_hasten = self._catch_up
        self._hosts = list(self.fleet.servers)
        self._revision = FIRST_REVISION
        self._entries = {
            host: self.fleet.entry_of(host, FIRST_REVISION)
            for host in self._hosts[:servers]
        }
        self._changes: list[tuple[int, ServerItem | RemovedItem]] = []
        for index in range(balancers):
            self.restart_balancer(index)

    def register_server(self, index: int) -> None:
        """Let a server register, if it has not."""
        host = self._hosts[index % len(self._hosts)]
        if host not in self._entries:
            self._entries[host] = self._successor(host)
            self._publish(ServerItem(self._entries[host]))

    def replace_server(self, index: int) -> None:
        """Let a server and its companion start anew, under another identity."""
        host = self._hosts[index % len(self._hosts)]
        if host not in self._entries:
            return
        self.fleet.servers[host].crash()
        self.fleet.stop_companion(host)
        self.fleet.started_ms[host] = int(self.fleet.clock.now().timestamp() * 1000)
        self.fleet.start_companion(host)
        self._publish(RemovedItem(identity=self._entries[host].identity))
        self._entries[host] = self._successor(host)
        self._publish(ServerItem(self._entries[host]))

    async def async_restart_companion(self, index: int) -> None:
        """Let a companion lose its table while its server lives."""
        host = self._hosts[index % len(self._hosts)]
        self.fleet.stop_companion(host)
        await asyncio.sleep(RESTART_S)
        self.fleet.start_companion(host)

    def restart_balancer(self, index: int) -> None:
        """Let a balancer lose its table and list the store anew."""
        name = self.fleet.balancer_names[index % len(self.fleet.balancer_names)]
        self.fleet.start_balancer(name, is_listed=False)
        configuration = [
            each
            for each in self.fleet.listing().items
            if isinstance(each, ConfigurationItem)
        ]
        entries = [ServerItem(each) for each in self._entries.values()]
        listing = Listing((*configuration, *entries), self._revision)
        self.fleet.directory().replace(listing)

    def read_store(self, balancer: int) -> None:
        """Let a balancer read all changes."""
        self._enter_by(balancer)
        self._catch_up(self.fleet.directory())

    async def async_open(self, balancer: int, count: int) -> None:
        """Open flows through a balancer and send one request on each."""
        self._enter_by(balancer)
        callers = [self.fleet.caller() for _ in range(count)]
        self.callers += callers
        await asyncio.gather(
            *(each.async_open_and_request(b"opening") for each in callers)
        )

    async def async_ask(self, balancer: int) -> None:
        """Send a request on each flow; silence is allowed, a false reset is not."""
        self._enter_by(balancer)
        await asyncio.gather(*(self._async_ask(each) for each in list(self.callers)))

    async def _async_ask(self, caller: StandInCaller) -> None:
        """Send a request on one flow."""
        is_alive = self._is_alive(caller)
        try:
            answer = await caller.async_send_request(b"question", 3)
        except TimeoutError:
            return
        if answer is None:
            self.callers.remove(caller)
            self.resets_of_living_flows += is_alive

    def _enter_by(self, balancer: int) -> None:
        """Let the fabric choose a balancer."""
        self.fleet.enter_by(balancer % len(self.fleet.balancer_names))

    def _is_alive(self, caller: StandInCaller) -> bool:
        """Tell whether a server holds a caller's flow."""
        flow = caller.packed_address + pack_address(SERVICE_ADDRESS)
        return any(flow in server.flows for server in self.fleet.servers.values())

    def _successor(self, host: str) -> BackendServer:
        """Return the entry of the next server at an address."""
        return msgspec.structs.replace(
            self.fleet.entry_of(host, self._revision + 1),
            identity=f"server-{host}-{self._revision}",
        )

    def _publish(self, item: ServerItem | RemovedItem) -> None:
        """Write a change to the store."""
        self._revision += 1
        self._changes.append((self._revision, item))
        self.fleet.source.revision = self._revision

    def _catch_up(self, directory: Directory) -> None:
        """Let a directory read the changes that it lacks."""
        missing = [x for revision, x in self._changes if revision > directory.revision]
        directory.apply(Listing(tuple(missing), self._revision))

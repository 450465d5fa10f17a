"""A fleet whose servers change while balancers read the store at different times.

Tests drive it step by step. Each change is appended to the store's list, and a
balancer uses the state that it read last::

    fleet = ChangingFleet(balancers=2, servers=3, spare=1)
    fleet.register_server(3)
    await fleet.async_open_flows(balancer=1, count=3)
    await fleet.async_send_requests(balancer=0)
"""

import asyncio
from collections.abc import Sequence
from typing import Final

import msgspec

from harness.flow_fleet import (
    ENTRY_LIFETIME,
    FIRST_REVISION,
    SERVICE_ADDRESS,
    FlowFleet,
    later,
)
from pomelotrail_core.directory import (
    BackendServer,
    ConfigurationItem,
    Directory,
    Listing,
    RemovedItem,
    Revision,
    ServerItem,
)
from pomelotrail_core.endpoint import pack_address
from stand_ins.flows import StandInCaller

# Between the stop of one process and the start of the next.
COMPANION_RESTART_SECONDS: Final = 0.4
# Servers write entries that a restored store lacks within this time after its return.
REWRITE_SECONDS: Final = 1.9


class ChangingFleet:
    """Balancers with stale directories, and callers that switch balancers."""

    def __init__(self, balancers: int, servers: int, spare: int) -> None:
        """Start with directories that list every server except the spare ones."""
        self.fleet = FlowFleet(balancers, servers + spare)
        self.callers: list[StandInCaller] = []
        self.resets_of_open_flows = 0
        self.fleet.on_refresh_requested = self._apply_changes
        self._hosts = list(self.fleet.servers)
        self._revision = FIRST_REVISION
        self._entries = {
            host: self.fleet.server_entry(host, FIRST_REVISION)
            for host in self._hosts[:servers]
        }
        self._stored = {each.identity: each for each in self._entries.values()}
        self._copies = [(self._revision, dict(self._stored))]
        self._changes: list[tuple[Revision, ServerItem | RemovedItem]] = []
        self._rewrites: set[asyncio.Task] = set()
        for index in range(balancers):
            self.restart_balancer(index)

    def register_server(self, index: int) -> None:
        """Register a server in the store, unless it is registered."""
        host = self._hosts[index % len(self._hosts)]
        if host not in self._entries:
            self._entries[host] = self._next_entry(host)
            self._publish(ServerItem(self._entries[host]))

    def replace_server(self, index: int) -> None:
        """Replace a server and its companion by new ones with another identity."""
        host = self._hosts[index % len(self._hosts)]
        if host not in self._entries:
            return
        self.fleet.servers[host].crash()
        self.fleet.stop_companion(host)
        self.fleet.started_ms[host] = int(self.fleet.clock.now().timestamp() * 1000)
        self.fleet.start_companion(host)
        self._publish(RemovedItem(identity=self._entries[host].identity))
        self._entries[host] = self._next_entry(host)
        self._publish(ServerItem(self._entries[host]))

    def restore_store(self, lost_changes: int) -> None:
        """Restore the store from a copy that lacks the last changes.

        Living servers write their entries again, and entries of servers that are gone
        expire.
        """
        number = max(0, len(self._copies) - 1 - lost_changes)
        revision, stored = self._copies[number]
        self._stored = dict(stored)
        self._revision = Revision(self._revision.era + 1, revision.number)
        self._copies = [(self._revision, dict(stored))]
        self._changes = []
        self.fleet.source.revision = self._revision
        rewrite = asyncio.create_task(self._async_write_again())
        self._rewrites.add(rewrite)
        rewrite.add_done_callback(self._rewrites.discard)

    async def _async_write_again(self) -> None:
        """Write missing entries of living servers and remove the others in time."""
        await asyncio.sleep(REWRITE_SECONDS)
        living = {each.identity: each for each in self._entries.values()}
        for identity, entry in living.items():
            if identity not in self._stored:
                self._publish(ServerItem(self._restamp(entry)))
        await asyncio.sleep(ENTRY_LIFETIME.total_seconds() - REWRITE_SECONDS)
        living = {each.identity for each in self._entries.values()}
        for identity in self._stored.keys() - living:
            self._publish(RemovedItem(identity=identity))

    async def async_restart_companion(self, index: int) -> None:
        """Restart a companion, which loses its table; its server keeps running."""
        host = self._hosts[index % len(self._hosts)]
        self.fleet.stop_companion(host)
        await asyncio.sleep(COMPANION_RESTART_SECONDS)
        self.fleet.start_companion(host)

    def restart_balancer(self, index: int) -> None:
        """Restart a balancer, which loses its table and lists the store again."""
        name = self.fleet.balancer_names[index % len(self.fleet.balancer_names)]
        self.fleet.start_balancer(name, is_listed=False)
        configuration = [
            each
            for each in self.fleet.listing().items
            if isinstance(each, ConfigurationItem)
        ]
        self._use_balancer(index)
        self._list_store(self.fleet.directory(), configuration)

    def read_store(self, balancer: int) -> None:
        """Apply all changes of the store to a balancer's directory."""
        self._use_balancer(balancer)
        self._apply_changes(self.fleet.directory())

    async def async_open_flows(self, balancer: int, count: int) -> None:
        """Open flows through a balancer and send one request on each."""
        self._use_balancer(balancer)
        callers = [self.fleet.caller() for _ in range(count)]
        self.callers += callers
        await asyncio.gather(
            *(each.async_open_and_request(b"opening") for each in callers)
        )

    async def async_send_requests(self, balancer: int) -> None:
        """Send a request on each flow and count resets of open flows.

        A request that stays unanswered is not counted.
        """
        self._use_balancer(balancer)
        await asyncio.gather(
            *(self._async_send_request(each) for each in list(self.callers))
        )

    async def _async_send_request(self, caller: StandInCaller) -> None:
        """Send a request on one flow."""
        was_open = self._is_flow_open(caller)
        try:
            answer = await caller.async_send_request(b"question", 3)
        except TimeoutError:
            return
        if answer is None:
            self.callers.remove(caller)
            self.resets_of_open_flows += was_open

    def _list_store(
        self, directory: Directory, configuration: Sequence[ConfigurationItem] = ()
    ) -> None:
        """Apply all entries of the store to a directory."""
        entries = [
            ServerItem(self._restamp(x, x.revision)) for x in self._stored.values()
        ]
        directory.replace(Listing((*configuration, *entries), self._revision))

    def _restamp(
        self, entry: BackendServer, revision: Revision | None = None
    ) -> BackendServer:
        """Return an entry as read in the present era."""
        number = (revision or later(self._revision)).number
        return msgspec.structs.replace(
            entry, revision=Revision(self._revision.era, number)
        )

    def _use_balancer(self, balancer: int) -> None:
        """Send the packets of callers to this balancer."""
        self.fleet.use_balancer(balancer % len(self.fleet.balancer_names))

    def _is_flow_open(self, caller: StandInCaller) -> bool:
        """Return whether a backend server has the caller's flow."""
        flow = caller.packed_address + pack_address(SERVICE_ADDRESS)
        return any(flow in server.flows for server in self.fleet.servers.values())

    def _next_entry(self, host: str) -> BackendServer:
        """Return the entry of a new server at an address."""
        return msgspec.structs.replace(
            self.fleet.server_entry(host, later(self._revision)),
            identity=f"server-{host}-{self._revision.number}",
        )

    def _publish(self, item: ServerItem | RemovedItem) -> None:
        """Write a change to the store."""
        self._revision = later(self._revision)
        match item:
            case ServerItem(server):
                self._stored[server.identity] = server
            case RemovedItem(identity):
                self._stored.pop(identity, None)
        self._copies.append((self._revision, dict(self._stored)))
        self._changes.append((self._revision, item))
        self.fleet.source.revision = self._revision

    def _apply_changes(self, directory: Directory) -> None:
        """Apply the changes that a directory has not read yet, as a follower does."""
        if directory.revision.era != self._revision.era:
            self._list_store(directory)
            return
        missing = [x for revision, x in self._changes if revision > directory.revision]
        directory.apply(Listing(tuple(missing), self._revision))

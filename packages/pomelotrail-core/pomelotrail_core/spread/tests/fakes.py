"""Fake network and configuration service, and a fleet of fake peers."""

import asyncio
import random
from collections import Counter, deque
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from typing import Any, Final

import attrs
import yaml
from result import Err, Ok, Result

from harness.builders import large_document
from harness.virtual_time import VirtualClock
from pomelotrail_core.configuration import (
    Configuration,
    ConfigurationCoordinator,
    ConfigurationSource,
)
from pomelotrail_core.configuration.const import LONG_POLL_TIMEOUT
from pomelotrail_core.configuration.errors import SourceError
from pomelotrail_core.configuration.parser import ConfigurationParser
from pomelotrail_core.configuration.source import Document
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import PeerError
from pomelotrail_core.spread import PeerNetwork, Spreader
from pomelotrail_core.spread.const import MAX_CACHED_CHANNELS
from pomelotrail_core.spread.errors import SpreadRefused
from pomelotrail_core.spread.spread_pb2 import (
    FetchRequest,
    FollowRequest,
    ReportReply,
    SpreadMessage,
    SuspicionReport,
)
from pomelotrail_core.spread.tree import SpreadTree
from pomelotrail_core.timeline import Recorder

# Overhead of gRPC, HTTP/2, TLS, TCP and IP, including the acknowledgements.
MESSAGE_OVERHEAD_BYTES: Final = 160
# TLS handshake and HTTP/2 settings.
CONNECTION_BYTES: Final = 4_300
LATENCY: Final = timedelta(milliseconds=20)
CONNECT_TIMEOUT: Final = timedelta(seconds=1)

Tamper = Callable[[SpreadMessage], SpreadMessage]


class FakeService(ConfigurationSource):
    """Fake configuration service that can be down, stale or faulty."""

    def __init__(self) -> None:
        """Initialize the service without published documents."""
        self.calls: list[float] = []
        self.is_down = False
        self.served: Document | None = None
        self.published: list[Document] = []
        self._changed = asyncio.Event()

    @property
    def name(self) -> str:
        """Return the name for log lines."""
        return "service"

    def publish(self, document: Document) -> None:
        """Publish a document and serve it."""
        self.published.append(document)
        self.serve(document)

    def serve(self, document: Document) -> None:
        """Serve a document, possibly an older one, and answer waiting watches."""
        self.served = document
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_fetch_newer(
        self, after: int, wait: timedelta = LONG_POLL_TIMEOUT
    ) -> Result[Document | None, SourceError]:
        """Answer a long poll; an older version is returned immediately."""
        self.calls.append(asyncio.get_running_loop().time())
        await asyncio.sleep(LATENCY.total_seconds())
        if self.is_down or self.served is None:
            return Err(SourceError(self.name, "down"))
        if self.served.version == after:
            try:
                async with asyncio.timeout(wait.total_seconds()):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.is_down:
            return Err(SourceError(self.name, "down"))
        if self.served.version == after:
            return Ok(None)
        return Ok(self.served)


@attrs.define
class Peer:
    """A process of the fake fleet."""

    name: str
    zone: str
    control: Endpoint
    coordinator: ConfigurationCoordinator
    spreader: Spreader
    versions: list[tuple[float, int]] = attrs.Factory(list)
    task: asyncio.Task[None] | None = None
    tamper: Tamper | None = None
    sent_bytes: int = 0
    received_bytes: int = 0

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.task is not None


class FakeFleet:
    """Peers on one event loop, with links that can be cut."""

    def __init__(self, servers: int, balancers: int, zones: int, seed: int = 1) -> None:
        """Create the peers of a document."""
        self.clock = VirtualClock()
        self.service = FakeService()
        self.peers: dict[Endpoint, Peer] = {}
        self.content: dict[str, Any] = large_document(0, servers, balancers, zones)
        self._parser = ConfigurationParser()
        self._rng = random.Random(seed)
        self._cut: Callable[[str, str], bool] = lambda one, other: False
        self._links_restored = asyncio.Event()
        self.add_peers()

    @property
    def zones(self) -> list[str]:
        """Return the names of the zones."""
        return [zone["name"] for zone in self.content["zones"]]

    @property
    def healthy(self) -> list[Peer]:
        """Return the running peers that do not tamper with messages."""
        return [
            peer for peer in self.peers.values() if peer.is_running and not peer.tamper
        ]

    def by_name(self, name: str) -> Peer:
        """Return the peer of that name."""
        return next(peer for peer in self.peers.values() if peer.name == name)

    def add_peers(self) -> None:
        """Create the peers of the document that don't exist yet."""
        servers = [
            server
            for service in self.content["services"]
            for server in service["backend_servers"]
        ]
        for entry in [*self.content["balancers"], *servers]:
            control = Endpoint.parse(entry["control"]).unwrap()
            if control not in self.peers:
                self.add(entry["name"], entry["zone"], control)

    def add(
        self,
        name: str,
        zone: str,
        control: Endpoint,
        source: ConfigurationSource | None = None,
        bootstrap: tuple[Endpoint, ...] = (),
    ) -> Peer:
        """Create a peer without starting it."""
        rng = random.Random(self._rng.random())
        recorder = Recorder(name, zone, self.clock, size=16)
        coordinator = ConfigurationCoordinator(recorder, self._parser)
        spreader = Spreader(
            name,
            zone,
            coordinator,
            source or self.service,
            FakeNetwork(self, control),
            self.clock,
            rng,
            bootstrap,
        )
        peer = Peer(name, zone, control, coordinator, spreader)
        self.peers[control] = peer

        def record_version(configuration: Configuration) -> None:
            """Record the version and the time when it came into force."""
            now = asyncio.get_running_loop().time()
            peer.versions.append((now, configuration.version))

        coordinator.add_listener(record_version)
        return peer

    def start(self) -> None:
        """Start every peer that is not running."""
        for peer in self.peers.values():
            if peer.task is None:
                peer.task = asyncio.create_task(peer.spreader.async_run())

    async def async_stop(self) -> None:
        """Stop every peer."""
        tasks = [peer.task for peer in self.peers.values() if peer.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def crash(self, peer: Peer) -> None:
        """Stop a peer abruptly; its streams stall without being closed."""
        if peer.task is not None:
            peer.task.cancel()
            peer.task = None

    def next_document(self) -> Document:
        """Return the next version with one changed value."""
        self.content["version"] += 1
        service = self._rng.choice(self.content["services"])
        service["backend_servers"][0]["slots"] += 1
        text = yaml.dump(
            self.content, Dumper=yaml.CSafeDumper, default_flow_style=None, width=1000
        )
        return Document(self.content["version"], text)

    def publish(self) -> int:
        """Publish the next version and return its number."""
        document = self.next_document()
        self.service.publish(document)
        return document.version

    def cut_links(self, is_cut: Callable[[str, str], bool]) -> None:
        """Cut the links between zones for which the function returns true."""
        self._cut = is_cut

    def restore_links(self) -> None:
        """Restore every link; messages sent meanwhile arrive late."""
        self._cut = lambda one, other: False
        self._links_restored.set()
        self._links_restored = asyncio.Event()

    def is_cut(self, one: Peer, other: Peer) -> bool:
        """Return whether a link is cut."""
        return self._cut(one.zone, other.zone)

    async def async_transmit(self, sender: Peer, receiver: Peer) -> None:
        """Wait until a message is delivered."""
        await asyncio.sleep(LATENCY.total_seconds())
        while self.is_cut(sender, receiver):
            await self._links_restored.wait()

    async def async_wait_for(self, version: int, limit_seconds: float) -> float:
        """Wait until all healthy peers have a version; return the elapsed seconds."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while any(peer.coordinator.version < version for peer in self.healthy):
            self._raise_failures()
            if loop.time() - start > limit_seconds:
                behind = Counter(peer.coordinator.version for peer in self.healthy)
                raise AssertionError(f"version {version} is not in force: {behind}")
            await asyncio.sleep(0.05)
        return loop.time() - start

    def _raise_failures(self) -> None:
        """Raise the error of a peer that ended unexpectedly."""
        for peer in self.peers.values():
            if peer.task is not None and peer.task.done():
                peer.task.result()

    def reverts(self) -> int:
        """Return how often a peer adopted a version that was not higher."""
        return sum(
            later[1] <= earlier[1]
            for peer in self.peers.values()
            for earlier, later in zip(peer.versions, peer.versions[1:], strict=False)
        )

    def tree(self) -> SpreadTree:
        """Return the tree of the first healthy peer."""
        tree = self.healthy[0].spreader.tree
        assert tree is not None
        return tree


class FakeNetwork(PeerNetwork):
    """Fake network of one peer."""

    def __init__(self, fleet: FakeFleet, own: Endpoint) -> None:
        """Transport the messages of the peer at ``own``."""
        self._fleet = fleet
        self._own = own
        self._connected_peers: deque[Endpoint] = deque(maxlen=MAX_CACHED_CHANNELS)

    async def async_follow(
        self, peer: Endpoint, request: FollowRequest
    ) -> AsyncIterator[SpreadMessage]:
        """Yield the messages of a peer; time out if it is unreachable."""
        own, other = self._fleet.peers[self._own], self._fleet.peers.get(peer)
        if other is None or not other.is_running or self._fleet.is_cut(own, other):
            await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
            return
        await self._async_connect(own, other)
        try:
            async for message in other.spreader.publisher.async_updates(request):
                yield await self._async_deliver(other, own, message)
        except SpreadRefused:
            return

    async def async_fetch(
        self, peer: Endpoint, request: FetchRequest
    ) -> Result[SpreadMessage, PeerError]:
        """Fetch from a peer."""
        own, other = self._fleet.peers[self._own], self._fleet.peers.get(peer)
        if other is None or not other.is_running or self._fleet.is_cut(own, other):
            await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
            return Err(PeerError(peer, "no answer"))
        if peer in self._connected_peers:
            await self._fleet.async_transmit(own, other)
        else:
            self._connected_peers.append(peer)
            await self._async_connect(own, other)
        try:
            message = other.spreader.publisher.fetch(request)
        except SpreadRefused as refused:
            return Err(PeerError(peer, str(refused)))
        return Ok(await self._async_deliver(other, own, message))

    async def async_report(
        self, peer: Endpoint, report: SuspicionReport
    ) -> Result[ReportReply, PeerError]:
        """Reject the report; the fake fleet has no report handlers."""
        return Err(PeerError(peer, "no reader"))

    def close(self) -> None:
        """Drop the open connections."""
        self._connected_peers.clear()

    async def _async_connect(self, own: Peer, other: Peer) -> None:
        """Open a connection and count its bytes at both ends."""
        for peer in (own, other):
            peer.sent_bytes += CONNECTION_BYTES
        await self._fleet.async_transmit(own, other)

    async def _async_deliver(
        self, sender: Peer, receiver: Peer, message: SpreadMessage
    ) -> SpreadMessage:
        """Deliver a copy of a message and count its bytes at both ends."""
        copy = SpreadMessage.FromString(message.SerializeToString())
        if sender.tamper is not None:
            copy = sender.tamper(copy)
        size = copy.ByteSize() + MESSAGE_OVERHEAD_BYTES
        sender.sent_bytes += size
        receiver.received_bytes += size
        await self._fleet.async_transmit(sender, receiver)
        return copy

"""A fake network and service, and builders of a spread of many peers."""

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
from pomelotrail_core.configuration.const import LONG_POLL
from pomelotrail_core.configuration.errors import SourceError
from pomelotrail_core.configuration.parser import ConfigurationParser
from pomelotrail_core.configuration.source import Document
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.peers import PeerError
from pomelotrail_core.spread import PeerNetwork, Spreader
from pomelotrail_core.spread.const import KEPT_CHANNELS
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

# Frames of gRPC, HTTP/2 and TLS, packets of TCP and IP, and the answer to them.
MESSAGE_OVERHEAD_BYTES: Final = 160
# The TLS handshake and the settings of HTTP/2.
CONNECTION_BYTES: Final = 4_300
LATENCY: Final = timedelta(milliseconds=20)
CONNECT_TIMEOUT: Final = timedelta(seconds=1)

Lie = Callable[[SpreadMessage], SpreadMessage]


class FakeService(ConfigurationSource):
    """The configuration service, which can be down, stale or broken."""

    def __init__(self) -> None:
        """Start with nothing published."""
        self.calls: list[float] = []
        self.is_down = False
        self.shown: Document | None = None
        self.published: list[Document] = []
        self._changed = asyncio.Event()

    @property
    def name(self) -> str:
        """Return the name for log lines."""
        return "service"

    def publish(self, document: Document) -> None:
        """Publish a document and show it."""
        self.published.append(document)
        self.show(document)

    def show(self, document: Document) -> None:
        """Show a document, an older one as well, and answer waiting watches."""
        self.shown = document
        self._changed.set()
        self._changed = asyncio.Event()

    async def async_next(
        self, after: int, wait: timedelta = LONG_POLL
    ) -> Result[Document | None, SourceError]:
        """Answer as the service would; an older version is given at once."""
        self.calls.append(asyncio.get_running_loop().time())
        await asyncio.sleep(LATENCY.total_seconds())
        if self.is_down or self.shown is None:
            return Err(SourceError(self.name, "down"))
        if self.shown.version == after:
            try:
                async with asyncio.timeout(wait.total_seconds()):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if self.is_down:
            return Err(SourceError(self.name, "down"))
        if self.shown.version == after:
            return Ok(None)
        return Ok(self.shown)


@attrs.define
class Peer:
    """One process of the fake fleet."""

    name: str
    zone: str
    control: Endpoint
    coordinator: ConfigurationCoordinator
    spreader: Spreader
    versions: list[tuple[float, int]] = attrs.Factory(list)
    task: asyncio.Task[None] | None = None
    lie: Lie | None = None
    sent_bytes: int = 0
    received_bytes: int = 0

    @property
    def is_running(self) -> bool:
        """Tell whether the process is there."""
        return self.task is not None


class FakeFleet:
    """Many peers on one loop, with links that can be cut."""

    def __init__(self, servers: int, balancers: int, zones: int, seed: int = 1) -> None:
        """Plan the peers of a document."""
        self.clock = VirtualClock()
        self.service = FakeService()
        self.peers: dict[Endpoint, Peer] = {}
        self.content: dict[str, Any] = large_document(0, servers, balancers, zones)
        self._parser = ConfigurationParser()
        self._rng = random.Random(seed)
        self._cut: Callable[[str, str], bool] = lambda one, other: False
        self._healed = asyncio.Event()
        self.add_peers()

    @property
    def zones(self) -> list[str]:
        """Return the names of the zones."""
        return [zone["name"] for zone in self.content["zones"]]

    @property
    def honest(self) -> list[Peer]:
        """Return the running peers that do not lie."""
        return [
            peer for peer in self.peers.values() if peer.is_running and not peer.lie
        ]

    def by_name(self, name: str) -> Peer:
        """Return the peer of that name."""
        return next(peer for peer in self.peers.values() if peer.name == name)

    def add_peers(self) -> None:
        """Make the peers that the document names and that are not there yet."""
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
        """Make one peer; nothing runs yet."""
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

        def note(configuration: Configuration) -> None:
            """Keep what came into force and when."""
            now = asyncio.get_running_loop().time()
            peer.versions.append((now, configuration.version))

        coordinator.add_listener(note)
        return peer

    def start(self) -> None:
        """Start every peer that does not run."""
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
        """End a peer without a word; its streams fall silent."""
        if peer.task is not None:
            peer.task.cancel()
            peer.task = None

    def next_document(self) -> Document:
        """Return the next version with some change."""
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

    def cut(self, is_cut: Callable[[str, str], bool]) -> None:
        """Cut the links between zones for which the function says so."""
        self._cut = is_cut

    def heal(self) -> None:
        """Mend every link; what was sent meanwhile arrives late."""
        self._cut = lambda one, other: False
        self._healed.set()
        self._healed = asyncio.Event()

    def is_cut(self, one: Peer, other: Peer) -> bool:
        """Tell whether a link is cut."""
        return self._cut(one.zone, other.zone)

    async def async_carry(self, sender: Peer, receiver: Peer) -> None:
        """Wait until a message has arrived."""
        await asyncio.sleep(LATENCY.total_seconds())
        while self.is_cut(sender, receiver):
            await self._healed.wait()

    async def async_wait_for(self, version: int, limit_seconds: float) -> float:
        """Wait until every honest peer has a version; return how long it took."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        while any(peer.coordinator.version < version for peer in self.honest):
            self._raise_failures()
            if loop.time() - start > limit_seconds:
                behind = Counter(peer.coordinator.version for peer in self.honest)
                raise AssertionError(f"version {version} is not in force: {behind}")
            await asyncio.sleep(0.05)
        return loop.time() - start

    def _raise_failures(self) -> None:
        """Raise the error of a peer that has ended by itself."""
        for peer in self.peers.values():
            if peer.task is not None and peer.task.done():
                peer.task.result()

    def reverts(self) -> int:
        """Return how often a peer took a version that was not higher."""
        return sum(
            later[1] <= earlier[1]
            for peer in self.peers.values()
            for earlier, later in zip(peer.versions, peer.versions[1:], strict=False)
        )

    def tree(self) -> SpreadTree:
        """Return the tree that the first honest peer has."""
        tree = self.honest[0].spreader.tree
        assert tree is not None
        return tree


class FakeNetwork(PeerNetwork):
    """The links of one peer."""

    def __init__(self, fleet: FakeFleet, own: Endpoint) -> None:
        """Carry what the peer at ``own`` sends and asks for."""
        self._fleet = fleet
        self._own = own
        self._asked: deque[Endpoint] = deque(maxlen=KEPT_CHANNELS)

    async def async_follow(
        self, peer: Endpoint, request: FollowRequest
    ) -> AsyncIterator[SpreadMessage]:
        """Stream what the other peer sends; silence when it has crashed."""
        me, other = self._fleet.peers[self._own], self._fleet.peers.get(peer)
        if other is None or not other.is_running or self._fleet.is_cut(me, other):
            await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
            return
        await self._async_connect(me, other)
        try:
            async for message in other.spreader.publisher.async_updates(request):
                yield await self._async_deliver(other, me, message)
        except SpreadRefused:
            return

    async def async_fetch(
        self, peer: Endpoint, request: FetchRequest
    ) -> Result[SpreadMessage, PeerError]:
        """Ask the other peer."""
        me, other = self._fleet.peers[self._own], self._fleet.peers.get(peer)
        if other is None or not other.is_running or self._fleet.is_cut(me, other):
            await asyncio.sleep(CONNECT_TIMEOUT.total_seconds())
            return Err(PeerError(peer, "no answer"))
        if peer in self._asked:
            await self._fleet.async_carry(me, other)
        else:
            self._asked.append(peer)
            await self._async_connect(me, other)
        try:
            message = other.spreader.publisher.fetch(request)
        except SpreadRefused as refused:
            return Err(PeerError(peer, str(refused)))
        return Ok(await self._async_deliver(other, me, message))

    async def async_report(
        self, peer: Endpoint, report: SuspicionReport
    ) -> Result[ReportReply, PeerError]:
        """Nobody takes reports here."""
        return Err(PeerError(peer, "no reader"))

    def close(self) -> None:
        """Forget whom this peer has asked."""
        self._asked.clear()

    async def _async_connect(self, me: Peer, other: Peer) -> None:
        """Open a connection and count its bytes at both ends."""
        for peer in (me, other):
            peer.sent_bytes += CONNECTION_BYTES
        await self._fleet.async_carry(me, other)

    async def _async_deliver(
        self, sender: Peer, receiver: Peer, message: SpreadMessage
    ) -> SpreadMessage:
        """Carry a copy of a message and count its bytes at both ends."""
        copy = SpreadMessage.FromString(message.SerializeToString())
        if sender.lie is not None:
            copy = sender.lie(copy)
        size = copy.ByteSize() + MESSAGE_OVERHEAD_BYTES
        sender.sent_bytes += size
        receiver.received_bytes += size
        await self._fleet.async_carry(sender, receiver)
        return copy

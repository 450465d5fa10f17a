"""Keep the configuration of this process current and forward it to peers."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Sequence
from datetime import timedelta

import attrs
from result import Err, Ok

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import (
    Configuration,
    ConfigurationCoordinator,
    ConfigurationSource,
)
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.logs import get_logger

from .const import (
    COMPARE_INTERVAL,
    COMPARE_TIMEOUT,
    COMPARED_PEERS,
    COMPARISONS_PER_PEER,
    KEEPALIVE_INTERVAL,
    PARENT_SLOTS,
)
from .follower import Follower
from .freshness import Freshness
from .network import PeerNetwork
from .publisher import Publisher
from .receiver import Receiver
from .service_reader import ServiceReader
from .spread_pb2 import FetchRequest
from .tree import Member, SpreadTree
from .views import ViewSelector

_LOGGER = get_logger("spread")
_NO_WAIT = timedelta()


@attrs.frozen
class VersionComparison:
    """Result of comparing versions with peers and the service.

    ``version`` is the version in force after the comparison.
    """

    version: int
    queried: int
    answered: int

    @property
    def has_answer(self) -> bool:
        """Return whether at least one peer or the service answered."""
        return self.answered > 0


class Spreader:
    """Receives and forwards configuration in this process."""

    def __init__(
        self,
        name: str,
        zone: str,
        coordinator: ConfigurationCoordinator,
        source: ConfigurationSource,
        network: PeerNetwork,
        clock: Clock,
        rng: random.Random,
        bootstrap: Sequence[Endpoint] = (),
    ) -> None:
        """Set up the parts; ``bootstrap`` peers are queried before any is known."""
        self._name = name
        self._zone = zone
        self._coordinator = coordinator
        self._network = network
        self._clock = clock
        self._rng = rng
        self._bootstrap = tuple(bootstrap)
        self._tree: SpreadTree | None = None
        self._is_fetching_announced = False
        self._comparison_peers: list[Member] = []
        self.freshness = Freshness(clock)
        self.views = ViewSelector(clock)
        self.publisher = Publisher(name, coordinator, clock, self.freshness, self.views)
        self._receiver = Receiver(coordinator, self.publisher, network)
        self._reader = ServiceReader(
            coordinator,
            source,
            self.is_reader,
            lambda: self._tree.size if self._tree else 1,
            self.freshness,
            clock,
            rng,
        )
        self.followers = [self._follower(slot) for slot in range(PARENT_SLOTS)]
        coordinator.add_listener(self._configure)

    @property
    def tree(self) -> SpreadTree | None:
        """Return the tree of the configuration in force."""
        return self._tree

    def is_reader(self) -> bool:
        """Return whether this process watches the configuration service."""
        return self._tree is not None and self._tree.is_reader(self._name, self._zone)

    async def async_run(self) -> None:
        """Run the reader, followers and publisher until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._reader.async_run())
                group.create_task(self.publisher.async_send_keepalives())
                group.create_task(self._async_expire_views())
                group.create_task(self._async_bootstrap())
                group.create_task(self._async_compare_periodically())
                await self._coordinator.async_wait_for_first()
                for follower in self.followers:
                    group.create_task(follower.async_run())
        finally:
            self._network.close()

    async def async_wait_ready(self) -> Configuration:
        """Wait for a configuration, then compare it with peers once."""
        await self._coordinator.async_wait_for_first()
        await self.async_compare_versions()
        return await self._coordinator.async_wait_for_first()

    async def async_compare_versions(
        self, timeout: timedelta = COMPARE_TIMEOUT
    ) -> VersionComparison:
        """Query parents, a few other peers and the service for their version.

        A higher version is fetched and put in force before this returns, unless
        the timeout expires first.
        """
        peers = self._peers_to_compare()
        queries = [asyncio.create_task(self._async_compare(peer)) for peer in peers]
        queries.append(asyncio.create_task(self._reader.async_poll(_NO_WAIT)))
        limit = asyncio.create_task(self._clock.async_sleep(timeout))
        pending = asyncio.gather(*queries)
        try:
            await asyncio.wait([pending, limit], return_when=asyncio.FIRST_COMPLETED)
        finally:
            limit.cancel()
            pending.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await pending
        answers = [each for each in queries if each.done() and not each.cancelled()]
        return VersionComparison(
            version=self._coordinator.version,
            queried=len(queries),
            answered=sum(each.result() for each in answers),
        )

    def fetch_announced_version(self, version: int, packets: Endpoint) -> None:
        """Fetch a version that a packet of a peer announced.

        ``packets`` is the packet address of the peer. Only one fetch is in flight
        at a time, so that packets can't make this process flood its peers.
        """
        if version <= self._coordinator.version or self._is_fetching_announced:
            return
        self._is_fetching_announced = True
        task = asyncio.create_task(self._async_fetch_announced(version, packets))
        task.add_done_callback(lambda _: setattr(self, "_is_fetching_announced", False))

    async def _async_fetch_announced(self, version: int, packets: Endpoint) -> None:
        """Fetch a version from the peer that announced it, or compare versions."""
        configuration = self._coordinator.current
        peer = configuration.process_at(packets) if configuration else None
        if peer is not None:
            await self._receiver.async_fetch(peer.control, version)
        if self._coordinator.version < version:
            await self.async_compare_versions()
        if self._coordinator.version < version:
            # The announced version may be wrong; limit the rate of fetches.
            await self._clock.async_sleep(KEEPALIVE_INTERVAL)

    def _configure(self, configuration: Configuration) -> None:
        """Rebuild the tree for a new configuration."""
        self._tree = SpreadTree(configuration)
        for follower in self.followers:
            follower.recheck_parent()

    def _follower(self, slot: int) -> Follower:
        """Return the follower for a parent slot."""
        return Follower(
            self._name,
            slot,
            self._candidates,
            self._coordinator,
            self._receiver,
            self._network,
            self.freshness,
            self.views,
            self._clock,
            self._rng,
        )

    def _candidates(self, slot: int) -> list[Member]:
        """Return the parent candidates of a slot, without the other slot's parent."""
        if self._tree is None:
            return []
        used = {
            follower.parent.name
            for index, follower in enumerate(self.followers)
            if index != slot and follower.parent is not None
        }
        candidates = self._tree.parents(self._name, self._zone, slot)
        return [each for each in candidates if each.name not in used]

    def _peers_to_compare(self) -> list[Endpoint]:
        """Return parents, a few random members and the bootstrap peers."""
        if self._tree is None:
            return list(self._bootstrap)
        parents = [each.parent for each in self.followers if each.parent is not None]
        others = self._tree.random_members(self._name, self._rng, COMPARED_PEERS)
        endpoints = [member.control for member in [*parents, *others]]
        return list(dict.fromkeys([*endpoints, *self._bootstrap]))

    async def _async_compare(self, peer: Endpoint) -> bool:
        """Query a peer and fetch a higher version; return whether it answered."""
        match await self._network.async_fetch(peer, FetchRequest()):
            case Err(_):
                return False
            case Ok(reply):
                version = reply.version
        if version > self._coordinator.version:
            await self._receiver.async_fetch(peer, version, reply.digest)
        return True

    async def _async_bootstrap(self) -> None:
        """Query the bootstrap peers until there is a configuration."""
        while self._bootstrap and not self._coordinator.version:
            await asyncio.gather(
                *(self._async_compare(each) for each in self._bootstrap)
            )
            await self._clock.async_sleep(KEEPALIVE_INTERVAL / 2)

    async def _async_compare_periodically(self) -> None:
        """Compare with a few random peers, in case both parents are behind.

        The peers are queried in turn and rarely replaced, so that connections to
        them are reused.
        """
        for count in itertools.count():
            jitter = self._rng.uniform(0.5, 1.5)
            await self._clock.async_sleep(COMPARE_INTERVAL * jitter)
            if self._tree is None:
                continue
            if count % COMPARISONS_PER_PEER == 0 or not self._comparison_peers:
                self._comparison_peers = self._tree.random_members(
                    self._name, self._rng, COMPARED_PEERS
                )
            for member in self._comparison_peers[:1]:
                answered = await self._async_compare(member.control)
                kept = [member] if answered else []
                self._comparison_peers = [*self._comparison_peers[1:], *kept]

    async def _async_expire_views(self) -> None:
        """Check for expired views periodically."""
        while True:
            await self._clock.async_sleep(KEEPALIVE_INTERVAL)
            self.views.refresh()

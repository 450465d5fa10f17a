"""Keeps this process up to date and hands on what it learns."""

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
    BEAT,
    COMPARE_INTERVAL,
    COMPARE_TIMEOUT,
    COMPARED_PEERS,
    COMPARISONS_WITH_ONE_PEER,
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
from .views import ViewHolder

_LOGGER = get_logger("spread")
_NO_WAIT = timedelta()


@attrs.frozen
class VersionComparison:
    """What peers said when this process compared versions.

    ``version`` is what is in force now. The comparison is ``sound`` when at
    least one peer or the service answered.
    """

    version: int
    asked: int
    answered: int

    @property
    def is_sound(self) -> bool:
        """Tell whether anybody answered."""
        return self.answered > 0


class Spreader:
    """The part of this process in the spread of configuration."""

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
        """Make the parts; ``bootstrap`` are peers to ask before any is known."""
        self._name = name
        self._zone = zone
        self._coordinator = coordinator
        self._network = network
        self._clock = clock
        self._rng = rng
        self._bootstrap = tuple(bootstrap)
        self._tree: SpreadTree | None = None
        self._asking = False
        self._compared: list[Member] = []
        self.freshness = Freshness(clock)
        self.views = ViewHolder(clock)
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
        """Tell whether this process holds the watch at the service."""
        return self._tree is not None and self._tree.is_reader(self._name, self._zone)

    async def async_run(self) -> None:
        """Read, follow and feed; runs until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._reader.async_run())
                group.create_task(self.publisher.async_beat())
                group.create_task(self._async_expire_views())
                group.create_task(self._async_bootstrap())
                group.create_task(self._async_compare_often())
                await self._coordinator.async_wait_first()
                for follower in self.followers:
                    group.create_task(follower.async_run())
        finally:
            self._network.close()

    async def async_wait_ready(self) -> Configuration:
        """Wait for a configuration, then compare it with peers once."""
        await self._coordinator.async_wait_first()
        await self.async_compare_versions()
        return await self._coordinator.async_wait_first()

    async def async_compare_versions(
        self, timeout: timedelta = COMPARE_TIMEOUT
    ) -> VersionComparison:
        """Ask parents, a few other peers and the service for their version.

        A higher version is fetched and put in force before this returns, unless
        the time is over first.
        """
        peers = self._peers_to_compare()
        asked = [asyncio.create_task(self._async_compare(peer)) for peer in peers]
        asked.append(asyncio.create_task(self._reader.async_ask(_NO_WAIT)))
        limit = asyncio.create_task(self._clock.async_sleep(timeout))
        everyone = asyncio.gather(*asked)
        try:
            await asyncio.wait([everyone, limit], return_when=asyncio.FIRST_COMPLETED)
        finally:
            limit.cancel()
            everyone.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await everyone
        answers = [each for each in asked if each.done() and not each.cancelled()]
        return VersionComparison(
            version=self._coordinator.version,
            asked=len(asked),
            answered=sum(each.result() for each in answers),
        )

    def hear_of(self, version: int, packets: Endpoint) -> None:
        """Ask at once for a version that a peer's packet has told.

        ``packets`` is the peer's address for packets. One question is open at
        a time, so packets can't make this process flood its peers.
        """
        if version <= self._coordinator.version or self._asking:
            return
        self._asking = True
        task = asyncio.create_task(self._async_ask_for(version, packets))
        task.add_done_callback(lambda _: setattr(self, "_asking", False))

    async def _async_ask_for(self, version: int, packets: Endpoint) -> None:
        """Fetch a version from the peer that told it, else compare."""
        configuration = self._coordinator.current
        peer = configuration.process_at(packets) if configuration else None
        if peer is not None:
            await self._receiver.async_fetch(peer.control, version)
        if self._coordinator.version < version:
            await self.async_compare_versions()
        if self._coordinator.version < version:
            # A packet may lie about its version; don't ask for it all the time.
            await self._clock.async_sleep(BEAT)

    def _configure(self, configuration: Configuration) -> None:
        """Work out the places of the new version."""
        self._tree = SpreadTree(configuration)
        for follower in self.followers:
            follower.reconsider()

    def _follower(self, slot: int) -> Follower:
        """Return the follower of one parent."""
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
        """Return whom to follow in a slot; never the parent of the other slot."""
        if self._tree is None:
            return []
        taken = {
            follower.parent.name
            for index, follower in enumerate(self.followers)
            if index != slot and follower.parent is not None
        }
        candidates = self._tree.parents(self._name, self._zone, slot)
        return [each for each in candidates if each.name not in taken]

    def _peers_to_compare(self) -> list[Endpoint]:
        """Return parents and a few others, or the bootstrap peers."""
        if self._tree is None:
            return list(self._bootstrap)
        parents = [each.parent for each in self.followers if each.parent is not None]
        others = self._tree.some_members(self._name, self._rng, COMPARED_PEERS)
        endpoints = [member.control for member in [*parents, *others]]
        return list(dict.fromkeys([*endpoints, *self._bootstrap]))

    async def _async_compare(self, peer: Endpoint) -> bool:
        """Ask one peer and take over what is higher; tell whether it answered."""
        match await self._network.async_fetch(peer, FetchRequest()):
            case Err(_):
                return False
            case Ok(reply):
                version = reply.version
        if version > self._coordinator.version:
            await self._receiver.async_fetch(peer, version, reply.digest)
        return True

    async def _async_bootstrap(self) -> None:
        """Ask the peers of the settings until there is a configuration."""
        while self._bootstrap and not self._coordinator.version:
            await asyncio.gather(
                *(self._async_compare(each) for each in self._bootstrap)
            )
            await self._clock.async_sleep(BEAT / 2)

    async def _async_compare_often(self) -> None:
        """Compare with one of a few random peers, in case both parents are behind.

        The peers are asked in turn and seldom replaced, so that connections to
        them are used again.
        """
        for count in itertools.count():
            jitter = self._rng.uniform(0.5, 1.5)
            await self._clock.async_sleep(COMPARE_INTERVAL * jitter)
            if self._tree is None:
                continue
            if count % COMPARISONS_WITH_ONE_PEER == 0 or not self._compared:
                self._compared = self._tree.some_members(
                    self._name, self._rng, COMPARED_PEERS
                )
            for member in self._compared[:1]:
                answered = await self._async_compare(member.control)
                kept = [member] if answered else []
                self._compared = [*self._compared[1:], *kept]

    async def _async_expire_views(self) -> None:
        """Look from time to time whether a view has expired."""
        while True:
            await self._clock.async_sleep(BEAT)
            self.views.refresh()

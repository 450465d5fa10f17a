"""Follows one parent at a time, and another when it is silent."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from datetime import timedelta
from typing import Final

from result import Err, Ok

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import ConfigurationCoordinator
from pomelotrail_core.logs import get_logger

from .const import BEAT, DISTRUST, RETRY_MAX, RETRY_MIN, SILENCE
from .freshness import Freshness
from .network import PeerNetwork
from .receiver import Receiver
from .spread_pb2 import FollowRequest, SpreadMessage
from .tree import Member
from .views import ViewHolder

_LOGGER: Final = get_logger("spread")
_MILLISECOND: Final = timedelta(milliseconds=1)

Candidates = Callable[[int], list[Member]]


class Follower:
    """One of the two parents of this process."""

    def __init__(
        self,
        name: str,
        slot: int,
        candidates: Candidates,
        coordinator: ConfigurationCoordinator,
        receiver: Receiver,
        network: PeerNetwork,
        freshness: Freshness,
        views: ViewHolder,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Follow the best candidate for the slot."""
        self._name = name
        self._slot = slot
        self._candidates = candidates
        self._coordinator = coordinator
        self._receiver = receiver
        self._network = network
        self._freshness = freshness
        self._views = views
        self._clock = clock
        self._rng = rng
        self._parent: Member | None = None
        self._heard_at = timedelta()
        self._stream: asyncio.Task[bool] | None = None
        self._distrusted: dict[str, timedelta] = {}

    @property
    def parent(self) -> Member | None:
        """Return the parent that sends, or None."""
        return self._parent

    def reconsider(self) -> None:
        """Leave a parent that is no candidate any more."""
        names = {candidate.name for candidate in self._candidates(self._slot)}
        lost = self._parent is not None and self._parent.name not in names
        if lost and self._stream is not None:
            self._stream.cancel()

    async def async_run(self) -> None:
        """Follow candidate after candidate; runs until cancelled."""
        attempt = 0
        while True:
            candidates = self._trusted()
            if candidates:
                peer = candidates[attempt % len(candidates)]
                served = await self._async_follow(peer)
                attempt = 0 if served else attempt + 1
            delay = min(RETRY_MIN * 2 ** min(attempt, 10), RETRY_MAX)
            await self._clock.async_sleep(delay * self._rng.uniform(0.5, 1.0))

    def _trusted(self) -> list[Member]:
        """Return the candidates that have not lied lately."""
        now = self._clock.monotonic()
        self._distrusted = {
            name: until for name, until in self._distrusted.items() if until > now
        }
        candidates = self._candidates(self._slot)
        return [
            each for each in candidates if each.name not in self._distrusted
        ] or candidates

    async def _async_follow(self, peer: Member) -> bool:
        """Follow one peer until it is lost; tell whether it served at all."""
        self._heard_at = self._clock.monotonic()
        self._stream = asyncio.create_task(self._async_read(peer))
        watch = asyncio.create_task(self._async_watch(self._stream))
        try:
            await asyncio.wait([self._stream])
        finally:
            self._parent = None
            for task in (watch, self._stream):
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(watch, self._stream, return_exceptions=True)
        stream = self._stream
        if stream.cancelled():
            return False
        return stream.result()

    async def _async_read(self, peer: Member) -> bool:
        """Read the stream of one peer; tell whether it was any use."""
        document = self._coordinator.document
        request = FollowRequest(follower=self._name)
        if document is not None:
            request.version = document.version
            request.digest = document.digest
        served = False
        stream = self._network.async_follow(peer.control, request)
        async with contextlib.aclosing(stream):
            async for message in stream:
                self._parent = peer
                self._heard_at = self._clock.monotonic()
                if not await self._async_take(peer, message):
                    return False
                served = True
        return served

    async def _async_take(self, peer: Member, message: SpreadMessage) -> bool:
        """Take over one message; False when the peer's word can't be trusted."""
        match await self._receiver.async_take(peer.control, message):
            case Err(error):
                _LOGGER.warning("%s", error)
                self._distrusted[peer.name] = self._clock.monotonic() + DISTRUST
                return False
            case Ok(_):
                pass
        if message.version >= self._coordinator.version:
            self._freshness.hear(message.age_milliseconds * _MILLISECOND)
        if message.HasField("view"):
            self._views.hear(self._slot, message.view)
        return True

    async def _async_watch(self, stream: asyncio.Task[bool]) -> None:
        """End the stream of a parent that has been silent too long."""
        while True:
            silence = self._clock.monotonic() - self._heard_at
            if silence >= SILENCE:
                stream.cancel()
                return
            await self._clock.async_sleep(max(SILENCE - silence, BEAT / 10))

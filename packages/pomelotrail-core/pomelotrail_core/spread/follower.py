"""Follow one parent at a time and fail over when it times out."""

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

from .const import (
    KEEPALIVE_INTERVAL,
    PARENT_TIMEOUT,
    RETRY_MAX,
    RETRY_MIN,
    UNTRUSTED_DURATION,
)
from .freshness import Freshness
from .network import PeerNetwork
from .receiver import Receiver
from .spread_pb2 import FollowRequest, SpreadMessage
from .tree import Member
from .views import ViewSelector

_LOGGER: Final = get_logger("spread")
_MILLISECOND: Final = timedelta(milliseconds=1)

Candidates = Callable[[int], list[Member]]


class Follower:
    """Receives updates from one of the two parents of this process."""

    def __init__(
        self,
        name: str,
        slot: int,
        candidates: Candidates,
        coordinator: ConfigurationCoordinator,
        receiver: Receiver,
        network: PeerNetwork,
        freshness: Freshness,
        views: ViewSelector,
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
        self._last_received_at = timedelta()
        self._stream: asyncio.Task[bool] | None = None
        self._untrusted_until: dict[str, timedelta] = {}

    @property
    def parent(self) -> Member | None:
        """Return the connected parent, or None."""
        return self._parent

    def recheck_parent(self) -> None:
        """Disconnect from the parent if it is no longer a candidate."""
        names = {candidate.name for candidate in self._candidates(self._slot)}
        is_removed = self._parent is not None and self._parent.name not in names
        if is_removed and self._stream is not None:
            self._stream.cancel()

    async def async_run(self) -> None:
        """Follow the candidates in turn; runs until cancelled."""
        attempt = 0
        while True:
            candidates = self._trusted_candidates()
            if candidates:
                peer = candidates[attempt % len(candidates)]
                served = await self._async_follow(peer)
                attempt = 0 if served else attempt + 1
            delay = min(RETRY_MIN * 2 ** min(attempt, 10), RETRY_MAX)
            await self._clock.async_sleep(delay * self._rng.uniform(0.5, 1.0))

    def _trusted_candidates(self) -> list[Member]:
        """Return the candidates that have sent no invalid message recently."""
        now = self._clock.monotonic()
        self._untrusted_until = {
            name: until for name, until in self._untrusted_until.items() if until > now
        }
        candidates = self._candidates(self._slot)
        return [
            each for each in candidates if each.name not in self._untrusted_until
        ] or candidates

    async def _async_follow(self, peer: Member) -> bool:
        """Follow a peer until its stream ends; return whether it was usable."""
        self._last_received_at = self._clock.monotonic()
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
        """Read the stream of a peer; return whether it sent only valid messages."""
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
                self._last_received_at = self._clock.monotonic()
                if not await self._async_handle(peer, message):
                    return False
                served = True
        return served

    async def _async_handle(self, peer: Member, message: SpreadMessage) -> bool:
        """Process a message; return False if the peer sent invalid data."""
        match await self._receiver.async_handle(peer.control, message):
            case Err(error):
                _LOGGER.warning("%s", error)
                self._untrusted_until[peer.name] = (
                    self._clock.monotonic() + UNTRUSTED_DURATION
                )
                return False
            case Ok(_):
                pass
        if message.version >= self._coordinator.version:
            self._freshness.record_contact(message.age_milliseconds * _MILLISECOND)
        if message.HasField("view"):
            self._views.receive(self._slot, message.view)
        return True

    async def _async_watch(self, stream: asyncio.Task[bool]) -> None:
        """Cancel the stream when nothing arrives within the parent timeout."""
        while True:
            elapsed = self._clock.monotonic() - self._last_received_at
            if elapsed >= PARENT_TIMEOUT:
                stream.cancel()
                return
            await self._clock.async_sleep(
                max(PARENT_TIMEOUT - elapsed, KEEPALIVE_INTERVAL / 10)
            )

"""Publish configuration and suspicion to the children of this process."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Final

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import Configuration, ConfigurationCoordinator
from pomelotrail_core.configuration.delta import compress
from pomelotrail_core.configuration.source import Document

from .const import KEEPALIVE_INTERVAL, MAX_CHILDREN
from .errors import NoConfigurationYet, SpreadRefused, TooManyChildren
from .freshness import Freshness
from .history import History, VersionDelta
from .spread_pb2 import FetchRequest, FollowRequest, SpreadMessage, SuspicionView
from .views import ViewSelector

_MILLISECOND: Final = timedelta(milliseconds=1)


class Publisher:
    """Streams deltas and keepalives to each child.

    Each message is built from the current state when it is sent, so a slow child
    skips intermediate states and needs no queue.
    """

    def __init__(
        self,
        name: str,
        coordinator: ConfigurationCoordinator,
        clock: Clock,
        freshness: Freshness,
        views: ViewSelector,
    ) -> None:
        """Publish the configuration in force of the coordinator."""
        self._name = name
        self._coordinator = coordinator
        self._clock = clock
        self._freshness = freshness
        self._views = views
        self._history = History()
        self._expected_delta: VersionDelta | None = None
        self._changed = asyncio.Event()
        self._children = 0
        self._compressed_cache: tuple[bytes, bytes] = (b"", b"")
        coordinator.add_listener(self._configure)

    @property
    def children(self) -> int:
        """Return the number of connected children."""
        return self._children

    def expect_delta(self, delta: VersionDelta) -> None:
        """Forward this delta if it produces the next version in force."""
        self._expected_delta = delta

    async def async_send_keepalives(self) -> None:
        """Send a keepalive to all children periodically; runs until cancelled."""
        while True:
            await self._clock.async_sleep(KEEPALIVE_INTERVAL)
            self._notify_children()

    async def async_updates(
        self, request: FollowRequest
    ) -> AsyncIterator[SpreadMessage]:
        """Yield updates for a child, starting from the version that it has."""
        if self._children >= MAX_CHILDREN:
            raise SpreadRefused(TooManyChildren(self._name))
        if self._coordinator.document is None:
            raise SpreadRefused(NoConfigurationYet(self._name))
        self._children += 1
        try:
            sent = (request.version, request.digest)
            view = ("", 0)
            while True:
                changed = self._changed
                message = self._next_message(sent)
                if message.version > sent[0]:
                    sent = (message.version, message.digest)
                view = self._add_view(message, view)
                yield message
                if sent[0] >= self._coordinator.version:
                    await changed.wait()
        finally:
            self._children -= 1

    def fetch(self, request: FetchRequest) -> SpreadMessage:
        """Return the version in force, with the document if requested."""
        document = self._document()
        message = self._version_message(document)
        if request.whole:
            message.document = self._compressed(document)
        return message

    def _configure(self, configuration: Configuration) -> None:
        """Store the delta to a new version and notify the children."""
        expected, self._expected_delta = self._expected_delta, None
        if expected is not None and expected.version != configuration.version:
            expected = None
        self._history.add(self._document(), expected)
        self._notify_children()

    def _notify_children(self) -> None:
        """Notify the streams of all children."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _next_message(self, sent: tuple[int, bytes]) -> SpreadMessage:
        """Return the next delta for a child, or a keepalive."""
        document = self._document()
        step = self._history.after(*sent)
        message = self._version_message(document)
        if step is not None and sent[0] < document.version:
            message.version = step.version
            message.digest = step.digest
            message.base_version = step.base_version
            message.delta = step.delta
        elif sent == (document.version, document.digest):
            message.ClearField("digest")
        return message

    def _version_message(self, document: Document) -> SpreadMessage:
        """Return a message with only the version, digest and age."""
        return SpreadMessage(
            version=document.version,
            digest=document.digest,
            age_milliseconds=self._freshness.age // _MILLISECOND,
        )

    def _add_view(
        self, message: SpreadMessage, sent: tuple[str, int]
    ) -> tuple[str, int]:
        """Add the suspicion view, or only its age if the child already has it."""
        view: SuspicionView | None = self._views.current
        if view is None:
            return sent
        if (view.reader, view.sequence) != sent:
            message.view.CopyFrom(view)
        else:
            message.view.reader = ""
            message.view.age_milliseconds = view.age_milliseconds
        return (view.reader, view.sequence)

    def _document(self) -> Document:
        """Return the document in force."""
        if self._coordinator.document is None:
            raise SpreadRefused(NoConfigurationYet(self._name))
        return self._coordinator.document

    def _compressed(self, document: Document) -> bytes:
        """Return the compressed document; cached for each version."""
        digest, data = self._compressed_cache
        if digest != document.digest:
            data = compress(document.text)
            self._compressed_cache = (document.digest, data)
        return data

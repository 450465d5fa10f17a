"""Feeds the children of this process."""

import asyncio
from collections.abc import AsyncIterator
from datetime import timedelta
from typing import Final

from pomelotrail_core.clock import Clock
from pomelotrail_core.configuration import Configuration, ConfigurationCoordinator
from pomelotrail_core.configuration.delta import compress
from pomelotrail_core.configuration.source import Document

from .const import BEAT, MAX_CHILDREN
from .errors import NoConfigurationYet, SpreadRefused, TooManyChildren
from .freshness import Freshness
from .history import History, VersionDelta
from .spread_pb2 import FetchRequest, FollowRequest, SpreadMessage, SuspicionView
from .views import ViewHolder

_MILLISECOND: Final = timedelta(milliseconds=1)


class Publisher:
    """Streams deltas and beats to each child.

    A message is made from what holds when it is sent, so a slow child skips
    what it missed and no queue grows for it.
    """

    def __init__(
        self,
        name: str,
        coordinator: ConfigurationCoordinator,
        clock: Clock,
        freshness: Freshness,
        views: ViewHolder,
    ) -> None:
        """Serve what the coordinator has in force."""
        self._name = name
        self._coordinator = coordinator
        self._clock = clock
        self._freshness = freshness
        self._views = views
        self._history = History()
        self._next: VersionDelta | None = None
        self._changed = asyncio.Event()
        self._children = 0
        self._whole: tuple[bytes, bytes] = (b"", b"")
        coordinator.add_listener(self._configure)

    @property
    def children(self) -> int:
        """Return the number of streams that are fed."""
        return self._children

    def expect(self, delta: VersionDelta) -> None:
        """Hand on this delta if the next version in force comes from it."""
        self._next = delta

    async def async_beat(self) -> None:
        """Wake every child's stream from time to time; runs until cancelled."""
        while True:
            await self._clock.async_sleep(BEAT)
            self._wake()

    async def async_updates(
        self, request: FollowRequest
    ) -> AsyncIterator[SpreadMessage]:
        """Stream to one child, starting from what it has."""
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
                message = self._message(sent)
                if message.version > sent[0]:
                    sent = (message.version, message.digest)
                view = self._add_view(message, view)
                yield message
                if sent[0] >= self._coordinator.version:
                    await changed.wait()
        finally:
            self._children -= 1

    def fetch(self, request: FetchRequest) -> SpreadMessage:
        """Return the version in force, with its document if asked for."""
        document = self._document()
        message = self._empty_message(document)
        if request.whole:
            message.document = self._compressed(document)
        return message

    def _configure(self, configuration: Configuration) -> None:
        """Keep the way to a new version and tell the children."""
        expected, self._next = self._next, None
        if expected is not None and expected.version != configuration.version:
            expected = None
        self._history.add(self._document(), expected)
        self._wake()

    def _wake(self) -> None:
        """Let every child's stream look again."""
        self._changed.set()
        self._changed = asyncio.Event()

    def _message(self, sent: tuple[int, bytes]) -> SpreadMessage:
        """Return the next step for a child, or a beat."""
        document = self._document()
        step = self._history.after(*sent)
        message = self._empty_message(document)
        if step is not None and sent[0] < document.version:
            message.version = step.version
            message.digest = step.digest
            message.base_version = step.base_version
            message.delta = step.delta
        elif sent == (document.version, document.digest):
            message.ClearField("digest")
        return message

    def _empty_message(self, document: Document) -> SpreadMessage:
        """Return a message that tells the version and the age only."""
        return SpreadMessage(
            version=document.version,
            digest=document.digest,
            age_milliseconds=self._freshness.age // _MILLISECOND,
        )

    def _add_view(
        self, message: SpreadMessage, sent: tuple[str, int]
    ) -> tuple[str, int]:
        """Add the view of suspicion if the child has another one."""
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
        """Return the whole document, compressed once for each version."""
        digest, data = self._whole
        if digest != document.digest:
            data = compress(document.text)
            self._whole = (document.digest, data)
        return data

"""The coordinator that manages the configuration in force."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from result import Err, Ok

from pomelotrail_core.logs import get_logger
from pomelotrail_core.timeline import EventKind, Recorder

from .const import MAX_REFUSED_DIGESTS
from .document import Configuration
from .parser import ConfigurationParser
from .source import Document

_LOGGER = get_logger("configuration")

Listener = Callable[[Configuration], None]


class ConfigurationCoordinator:
    """Adopts newer versions and notifies its listeners.

    A version is adopted only when it is higher than the one in force, so the
    configuration never reverts, even if a source serves an older version.
    """

    def __init__(
        self,
        recorder: Recorder,
        parser: ConfigurationParser | None = None,
    ) -> None:
        """Initialize with no configuration in force."""
        self._parser = parser or ConfigurationParser()
        self._recorder = recorder
        self._current: Configuration | None = None
        self._document: Document | None = None
        self._refused_digests: OrderedDict[bytes, int] = OrderedDict()
        self._listeners: list[Listener] = []
        self._first_adopted = asyncio.Event()

    @property
    def current(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._current

    @property
    def document(self) -> Document | None:
        """Return the document in force as it was published."""
        return self._document

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self._current.version if self._current else 0

    def has_refused(self, digest: bytes) -> bool:
        """Return whether a document with this digest was recently refused."""
        return digest in self._refused_digests

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with the version in force and each later one."""
        self._listeners.append(listener)
        if self._current is not None:
            listener(self._current)

    async def async_wait_for_first(self) -> Configuration:
        """Wait until a configuration is in force."""
        await self._first_adopted.wait()
        assert self._current is not None
        return self._current

    async def async_wait_until(
        self, predicate: Callable[[Configuration], bool]
    ) -> Configuration:
        """Wait until the configuration in force satisfies a predicate."""
        changed = asyncio.Event()
        self.add_listener(lambda _: changed.set())
        while True:
            if self._current is not None and predicate(self._current):
                return self._current
            changed.clear()
            await changed.wait()

    def adopt_if_newer(self, document: Document, source: str) -> bool:
        """Validate a document and adopt it if its version is higher."""
        if document.version <= self.version or document.digest in self._refused_digests:
            return False
        match self._parser.parse(document.text, source):
            case Err(error):
                _LOGGER.warning("%s", error)
                self._recorder.record(
                    EventKind.CONFIGURATION_REFUSED, detail=str(error)
                )
                self._record_refused(document)
                return False
            case Ok(configuration):
                return self._adopt(configuration, document, source)

    def _record_refused(self, document: Document) -> None:
        """Record an invalid document so that it is not parsed again."""
        self._refused_digests[document.digest] = document.version
        while len(self._refused_digests) > MAX_REFUSED_DIGESTS:
            self._refused_digests.popitem(last=False)

    def _adopt(
        self, configuration: Configuration, document: Document, source: str
    ) -> bool:
        """Put a validated configuration in force."""
        if configuration.version <= self.version:
            return False
        self._current = configuration
        self._document = document
        self._recorder.record(
            EventKind.CONFIGURATION_IN_FORCE,
            detail=f"version {configuration.version} from {source}",
        )
        _LOGGER.info("Version %d is in force", configuration.version)
        for listener in self._listeners:
            self._notify(listener, configuration)
        self._first_adopted.set()
        return True

    def _notify(self, listener: Listener, configuration: Configuration) -> None:
        """Call a listener; the others get the configuration even if it fails."""
        try:
            listener(configuration)
        except Exception:
            _LOGGER.exception(
                "A part of this process failed on version %d and keeps what it had; "
                "report this",
                configuration.version,
            )

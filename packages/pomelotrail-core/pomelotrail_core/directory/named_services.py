"""Services that the configuration names, and entries of all others."""

from datetime import timedelta

from pomelotrail_core.clock import Clock

from .messages import BackendServer, PublishedConfiguration


class NamedServices:
    """Tells the entries of backend servers from those of other writers.

    The entry of a service that no version names may come from another writer. It is
    kept aside until a version names its service::

        named.record_version(version_3)
        if not named.is_named(server.service):
            named.keep_aside(server)
        for server in named.record_version(version_4):
            ...
    """

    def __init__(self, clock: Clock, max_flow_duration: timedelta) -> None:
        """Initialize without a version; flows last no longer than the duration."""
        self._clock = clock
        self._max_flow_duration = max_flow_duration
        self._current: frozenset[str] = frozenset()
        self._former: dict[str, timedelta] = {}
        self._aside: dict[str, BackendServer] = {}

    @property
    def kept_aside(self) -> list[BackendServer]:
        """Return the entries whose service isn't named."""
        return list(self._aside.values())

    def is_named(self, service: str) -> bool:
        """Return whether the last version names a service, or flows of it may be open.

        Flows stay open at a service that a version doesn't name any more.
        """
        if service in self._current:
            return True
        until = self._former.get(service)
        return until is not None and self._clock.monotonic() < until

    def record_version(
        self, configuration: PublishedConfiguration
    ) -> list[BackendServer]:
        """Record the services of a version; return the entries that it names."""
        now = self._clock.monotonic()
        routes = configuration.routes.values()
        named = {
            *configuration.services,
            *(each for x in routes for each in x.services),
        }
        former = {name: end for name, end in self._former.items() if now < end}
        left = dict.fromkeys(self._current - named, now + self._max_flow_duration)
        self._former = former | left
        self._current = frozenset(named)
        entries = [x for x in self._aside.values() if self.is_named(x.service)]
        for server in entries:
            del self._aside[server.identity]
        return entries

    def keep_aside(self, server: BackendServer) -> None:
        """Keep the entry of a service that isn't named."""
        self._aside[server.identity] = server

    def remove(self, identity: str) -> None:
        """Remove an entry that was kept aside, if there is one."""
        self._aside.pop(identity, None)

    def retain(self, identities: set[str]) -> None:
        """Remove all entries that were kept aside except those of a listing."""
        for identity in [each for each in self._aside if each not in identities]:
            del self._aside[identity]

"""Typed entries of the directory."""

import enum
from collections.abc import Mapping
from datetime import timedelta

import msgspec

from pomelotrail_core.endpoint import Endpoint

from .revision import Revision


class ServerState(enum.Enum):
    """Whether a backend server accepts new flows."""

    READY = "ready"
    LEAVING = "leaving"


class BackendServer(msgspec.Struct, frozen=True):
    """The entry of one backend server.

    ``slots`` is the number of requests that it processes concurrently; more are queued.
    ``cold_for`` is the remaining warm-up time when the entry was written.
    ``started_ms`` is its start time in milliseconds since 1970 by the clock of its VM,
    or 0 if the entry has none. ``sequence`` counts what the server has written since
    its start.
    """

    identity: str
    service: str
    endpoint: Endpoint
    zone: str
    slots: int
    state: ServerState
    cold_for: timedelta
    revision: Revision = Revision()
    started_ms: int = 0
    sequence: int = 0

    @property
    def _progress(self) -> tuple[int, bool]:
        """Return how far the server got since its start; leaving is the end of it."""
        return self.sequence, self.state is ServerState.LEAVING

    def supersedes(self, other: "BackendServer") -> bool:
        """Return whether this entry is later than one of the same server or address.

        Revisions tell within an era of the store. An entry read in another era may come
        from an older copy although its era is later, so what the servers say of
        themselves tells.
        """
        if self.revision.era == other.revision.era:
            return self.revision > other.revision
        has_starts = bool(self.started_ms and other.started_ms)
        if has_starts and self.started_ms != other.started_ms:
            return self.started_ms > other.started_ms
        if has_starts and self.identity == other.identity:
            return self._progress > other._progress
        return self.revision > other.revision


class ServiceShare(msgspec.Struct, frozen=True):
    """The share of a route's new flows that one service gets."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """A public address of the platform and the services that it routes to."""

    name: str
    endpoint: Endpoint
    shares: tuple[ServiceShare, ...]
    timeout: timedelta
    target_latency: timedelta
    priority: int
    is_idempotent: bool

    @property
    def services(self) -> frozenset[str]:
        """Return the services that new flows are sent to."""
        return frozenset(share.service for share in self.shares)


class ServiceSettings(msgspec.Struct, frozen=True):
    """Settings of a service.

    ``cold_flows_per_s`` is the number of new flows per second that one cold backend
    server can accept, or None if it is not set.
    """

    name: str
    cold_flows_per_s: float | None


class PublishedConfiguration(msgspec.Struct, frozen=True):
    """One complete version of the operators' configuration."""

    version: int
    routes: Mapping[bytes, Route]
    services: Mapping[str, ServiceSettings]


class ServerItem(msgspec.Struct, frozen=True):
    """A backend server's entry was written."""

    server: BackendServer


class ConfigurationItem(msgspec.Struct, frozen=True):
    """A version of the configuration was published."""

    configuration: PublishedConfiguration


class ZoneItem(msgspec.Struct, frozen=True):
    """An availability zone was taken out of service."""

    zone: str
    revision: Revision = Revision()


class UnusableItem(msgspec.Struct, frozen=True):
    """An entry that can't be parsed.

    ``identity`` is the backend server whose entry it replaces, if any.
    """

    key: str
    problem: str
    identity: str = ""


class RemovedItem(msgspec.Struct, frozen=True):
    """An entry was removed: of a backend server, or of an out-of-service zone."""

    identity: str = ""
    zone: str = ""


DirectoryItem = ServerItem | ConfigurationItem | ZoneItem | UnusableItem | RemovedItem


class Listing(msgspec.Struct, frozen=True):
    """Items in the order in which they were written, up to ``revision``."""

    items: tuple[DirectoryItem, ...]
    revision: Revision

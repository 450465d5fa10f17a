"""Typed content of the directory."""

import enum
from collections.abc import Mapping
from datetime import timedelta

import msgspec

from pomelotrail_core.endpoint import Endpoint


class ServerState(enum.Enum):
    """Whether a backend server takes new flows."""

    READY = "ready"
    LEAVING = "leaving"


class BackendServer(msgspec.Struct, frozen=True):
    """The entry of one backend server.

    ``slots`` is the number of requests that it works on at once; more wait.
    ``cold_for`` is how much longer it was slow when the entry was written.
    ``started_ms`` is when it started, in milliseconds since 1970 by the clock of its
    VM, or 0 if its entry doesn't say so.
    """

    identity: str
    service: str
    endpoint: Endpoint
    zone: str
    slots: int
    state: ServerState
    cold_for: timedelta
    revision: int = 0
    started_ms: int = 0


class ServiceShare(msgspec.Struct, frozen=True):
    """The share of a route's new flows that one service gets."""

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """An address of the platform and the services behind it."""

    name: str
    endpoint: Endpoint
    shares: tuple[ServiceShare, ...]
    timeout: timedelta
    target_latency: timedelta
    priority: int
    is_idempotent: bool


class ServiceTerms(msgspec.Struct, frozen=True):
    """What operators set for a service.

    ``cold_flows_per_s`` is what one cold backend server bears, or None where
    nothing is set.
    """

    name: str
    cold_flows_per_s: float | None


class PublishedConfiguration(msgspec.Struct, frozen=True):
    """One version of the operators' configuration, whole."""

    version: int
    routes: Mapping[bytes, Route]
    services: Mapping[str, ServiceTerms]


class ServerItem(msgspec.Struct, frozen=True):
    """A backend server's entry was written."""

    server: BackendServer


class ConfigurationItem(msgspec.Struct, frozen=True):
    """A version of the configuration was published."""

    configuration: PublishedConfiguration


class ZoneItem(msgspec.Struct, frozen=True):
    """An availability zone was taken out of service."""

    zone: str


class UnusableItem(msgspec.Struct, frozen=True):
    """An entry that can't be read; it names nothing to use.

    ``identity`` is the backend server whose entry it replaces, if any.
    """

    key: str
    problem: str
    identity: str = ""


class RemovedItem(msgspec.Struct, frozen=True):
    """An entry was removed: a backend server's, or the order on a zone."""

    identity: str = ""
    zone: str = ""


DirectoryItem = ServerItem | ConfigurationItem | ZoneItem | UnusableItem | RemovedItem


class Listing(msgspec.Struct, frozen=True):
    """Items in the order in which they were written, up to a revision."""

    items: tuple[DirectoryItem, ...]
    revision: int

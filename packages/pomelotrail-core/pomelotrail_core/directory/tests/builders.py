"""Builders of directory entries."""

from datetime import timedelta
from typing import Any, Final

import msgspec

from pomelotrail_core.directory import (
    BackendServer,
    ConfigurationItem,
    DirectoryItem,
    Listing,
    PublishedConfiguration,
    Revision,
    ServerItem,
    ServerState,
    ServiceSettings,
)
from pomelotrail_core.endpoint import Endpoint

ENTRY_LIFETIME: Final = timedelta(seconds=3.6)
MAX_FLOW_DURATION: Final = timedelta(seconds=60)

_SERVER = BackendServer(
    identity="server-1",
    service="ledger",
    endpoint=Endpoint("192.0.2.1", 8080),
    zone="zone-1",
    slots=4,
    state=ServerState.READY,
    cold_for=timedelta(),
    revision=Revision(number=1),
)


def server(revision: int = 1, era: int = 0, **changes: Any) -> BackendServer:
    """Return a backend server."""
    changes["revision"] = Revision(era, revision)
    return msgspec.structs.replace(_SERVER, **changes)


def entry(**changes: Any) -> ServerItem:
    """Return the entry of a backend server."""
    return ServerItem(server(**changes))


def configuration(
    version: int,
    cold_flows_per_s: float | None = None,
    services: tuple[str, ...] = ("ledger", "desk"),
) -> DirectoryItem:
    """Return a configuration without routes that names services."""
    settings = {name: ServiceSettings(name, cold_flows_per_s) for name in services}
    return ConfigurationItem(PublishedConfiguration(version, {}, settings))


def listing(*items: DirectoryItem, revision: int = 10, era: int = 0) -> Listing:
    """Return a listing."""
    return Listing(items, Revision(era, revision))

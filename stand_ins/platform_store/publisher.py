"""Publisher of the items that backend servers and operators write."""

import json
from collections import Counter
from typing import Any

import attrs

from .store import PlatformStore

ServerFields = dict[str, Any]


@attrs.frozen
class PublishedRoute:
    """A route to one service."""

    name: str
    host: str
    port: int
    service: str
    priority: int = 1


class Publisher:
    """Writes items in the format of the store."""

    def __init__(self, store: PlatformStore) -> None:
        """Initialize with the store to write to."""
        self._store = store
        self._sequences: Counter[str] = Counter()

    def server(
        self,
        identity: str,
        service: str,
        address: str,
        zone: str,
        slots: int,
        started_ms: int,
        cold_ms: int = 0,
        is_leaving: bool = False,
    ) -> None:
        """Write the entry of a backend server."""
        self._sequences[identity] += 1
        entry = {
            **{"service": service, "zone": zone, "version": "v1"},
            **{"sequence": self._sequences[identity]},
            **{"address": address, "capacity": slots, "born": started_ms},
            **{"state": "draining" if is_leaving else "ready"},
            **{"warmup_left_ms": cold_ms},
        }
        self._store.write(f"servers/{identity}", json.dumps(entry).encode())

    def remove_server(self, identity: str) -> None:
        """Remove the entry of a backend server."""
        self._store.remove(f"servers/{identity}")

    def configuration(
        self, version: int, routes: list[PublishedRoute], cold_per_s: float = 0.0
    ) -> None:
        """Write a version of the configuration."""
        content = {
            "version": version,
            "routes": [_encode_route(route) for route in routes],
            "services": [
                {"name": name, "warmup_per_s": cold_per_s}
                for name in sorted({route.service for route in routes})
            ],
        }
        self._store.write("op/config", json.dumps(content).encode())

    def take_out_zone(self, zone: str) -> None:
        """Take a zone out, so that its servers get no new flows."""
        self._store.write(f"op/evacuate/{zone}", b"{}")

    def restore_zone(self, zone: str) -> None:
        """Restore a zone that was taken out."""
        self._store.remove(f"op/evacuate/{zone}")


def _encode_route(route: PublishedRoute) -> dict[str, Any]:
    """Return a route in the format of the store."""
    return {
        **{"name": route.name, "host": route.host, "prefix": f"/{route.port}/"},
        **{"kind": "idempotent", "timeout_ms": 4000, "target_latency_ms": 250},
        **{"priority": route.priority, "service": route.service},
    }

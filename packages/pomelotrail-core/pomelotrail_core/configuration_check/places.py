"""Names of entries in findings and differences, such as ``services[ledger]``."""

from collections import Counter
from collections.abc import Iterable

from pomelotrail_core.configuration import (
    AvailabilityZone,
    BackendServer,
    Balancer,
    RequestClass,
    Service,
)

from .messages import Entries, Fields


def zone_place(zone: AvailabilityZone) -> str:
    """Return the place of an availability zone."""
    return f"zones[{zone.name}]"


def balancer_place(balancer: Balancer) -> str:
    """Return the place of a balancer."""
    return f"balancers[{balancer.name}]"


def service_place(service: Service) -> str:
    """Return the place of a service."""
    return f"services[{service.name}]"


def class_place(service: Service, request_class: RequestClass) -> str:
    """Return the place of a class of requests."""
    return f"{service_place(service)}.classes[{request_class.name}]"


def server_place(service: Service, server: BackendServer) -> str:
    """Return the place of a backend server."""
    return f"{service_place(service)}.backend_servers[{server.name}]"


def number_places(entries: Iterable[tuple[str, Fields]]) -> Entries:
    """Return entries by place; the second of one place is that place with ``#2``."""
    numbered: dict[str, Fields] = {}
    counts: Counter[str] = Counter()
    for place, fields in entries:
        counts[place] += 1
        unique = place if counts[place] == 1 else f"{place}#{counts[place]}"
        numbered[unique] = fields
    return numbered

"""Checks of routes that another system publishes."""

from collections import defaultdict
from collections.abc import Iterator
from datetime import timedelta
from typing import Final

import attrs

from pomelotrail_core.directory import Route, ServiceSettings

from .check import ConfigurationCheck, warn
from .messages import Entries, Fields, Finding
from .places import number_places
from .values import duration_text

_ZERO: Final = timedelta()


@attrs.frozen
class RouteDocument:
    """A version of routes and services, each as often as the document has it."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSettings, ...]


class ShadowedRouteCheck(ConfigurationCheck[RouteDocument]):
    """Finds routes of an address that a later route has too, which replaces them."""

    def find(self, content: RouteDocument) -> Iterator[Finding]:
        """Yield the routes that are replaced."""
        by_address: dict[object, list[Route]] = defaultdict(list)
        for route in content.routes:
            by_address[route.endpoint].append(route)
        for endpoint, routes in by_address.items():
            for route in routes[:-1]:
                yield warn(
                    f"routes[{route.name}]",
                    f"gets no flow: the later route {routes[-1].name!r} has the same "
                    f"address, {endpoint}",
                    "remove one of the routes, or change its address",
                )


class ShareCheck(ConfigurationCheck[RouteDocument]):
    """Finds shares of a route that get no flow, or all of them by accident.

    Shares are relative, so their sum needn't be 1. Without any weight, the last service
    gets all flows.
    """

    def find(self, content: RouteDocument) -> Iterator[Finding]:
        """Yield the routes without weights, and services without a share or name."""
        for route in content.routes:
            place = f"routes[{route.name}]"
            if len(route.shares) > 1 and not any(x.weight for x in route.shares):
                yield warn(
                    f"{place}.weight",
                    f"no service has a weight, so {route.shares[-1].service!r}, the "
                    "last one, gets all flows",
                    "write a weight above 0 for a service",
                )
                continue
            for share in route.shares:
                if not share.service:
                    yield warn(
                        f"{place}.service",
                        "gets no flow: it names no service",
                        "write the name of a service",
                    )
                elif len(route.shares) > 1 and not share.weight:
                    yield warn(
                        f"{place}.weight",
                        f"service {share.service!r} gets no flow: its weight is 0",
                        "remove the service, or write a weight above 0",
                    )


class UnroutedServiceCheck(ConfigurationCheck[RouteDocument]):
    """Finds services that no route leads to."""

    def find(self, content: RouteDocument) -> Iterator[Finding]:
        """Yield the services without a route."""
        routed = {name for route in content.routes for name in route.services}
        for service in content.services:
            if service.name not in routed:
                yield warn(
                    f"services[{service.name}]",
                    "gets no flow: no route leads to it",
                    "add a route, or remove the service",
                )


class RouteTargetCheck(ConfigurationCheck[RouteDocument]):
    """Finds routes whose target is over their timeout."""

    def find(self, content: RouteDocument) -> Iterator[Finding]:
        """Yield targets that a request can't exceed, and timeouts of 0."""
        for route in content.routes:
            if route.timeout == _ZERO:
                yield warn(
                    f"routes[{route.name}].timeout",
                    "is 0, within which no request is answered",
                    "write a timeout above the target",
                )
            elif route.target_latency > route.timeout:
                yield warn(
                    f"routes[{route.name}].target",
                    f"{duration_text(route.target_latency)} is over the timeout of "
                    f"{duration_text(route.timeout)}",
                    "lower the target, or raise the timeout above it",
                )


ROUTE_CHECKS: Final[tuple[ConfigurationCheck[RouteDocument], ...]] = (
    ShadowedRouteCheck(),
    ShareCheck(),
    UnroutedServiceCheck(),
    RouteTargetCheck(),
)


def route_entries(content: RouteDocument) -> Entries:
    """Return the fields of all routes and services by place."""
    return number_places(_all_entries(content))


def _all_entries(content: RouteDocument) -> Iterator[tuple[str, Fields]]:
    """Yield place and fields of each entry in the order of the document."""
    for route in content.routes:
        shares = (f"{each.service}:{each.weight:g}" for each in route.shares)
        yield (
            f"routes[{route.name}]",
            {
                "address": str(route.endpoint),
                "services": " ".join(shares),
                "timeout": duration_text(route.timeout),
                "target": duration_text(route.target_latency),
                "priority": route.priority,
                "idempotent": route.is_idempotent,
            },
        )
    for service in content.services:
        limit = service.cold_flows_per_s
        yield f"services[{service.name}]", {"cold_flows_per_s": limit or 0.0}

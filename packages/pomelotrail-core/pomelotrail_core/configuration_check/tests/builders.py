"""Builders of configurations for tests of the check."""

from datetime import timedelta
from typing import Any

import attrs
from hypothesis import strategies as st

from pomelotrail_core.configuration import (
    AvailabilityZone,
    BackendServer,
    Balancer,
    Configuration,
    RequestClass,
    Service,
)
from pomelotrail_core.endpoint import Endpoint

ZONES = (AvailabilityZone("veraval", 1), AvailabilityZone("porbandar", 2))
_SMALL_PATHS = st.text("/ab", max_size=4).map("/".__add__)


def make_class(
    name: str = "read", path: str = "/board", **changes: Any
) -> RequestClass:
    """Return a class of requests."""
    request_class = RequestClass(
        name=name,
        method="GET",
        path=path,
        within=timedelta(milliseconds=300),
        share=0.99,
        run_once=False,
        deadline=timedelta(seconds=4),
        body_limit=1_000,
    )
    return attrs.evolve(request_class, **changes)


def make_server(
    number: int = 1, zone: str = "veraval", **changes: Any
) -> BackendServer:
    """Return a backend server with addresses by its number."""
    server = BackendServer(
        name=f"ledger-{number}",
        zone=zone,
        packets=Endpoint(f"192.0.2.{number}", 7000),
        control=Endpoint(f"192.0.2.{number}", 7001),
        slots=5,
        connections=2000,
    )
    return attrs.evolve(server, **changes)


def make_balancer(zone: str) -> Balancer:
    """Return a balancer."""
    host = "192.0.2.200"
    return Balancer("balancer-1", zone, Endpoint(host, 7000), Endpoint(host, 7001))


def make_service(
    classes: tuple[RequestClass, ...] = (make_class(),),
    servers: tuple[BackendServer, ...] = (make_server(), make_server(2, "porbandar")),
) -> Service:
    """Return a service."""
    return Service("stock-ledger", 1, classes, servers)


def make_configuration(*services: Service, **changes: Any) -> Configuration:
    """Return a configuration without findings, changed as given."""
    configuration = Configuration(
        version=12, zones=ZONES, services=services or (make_service(),), balancers=()
    )
    return attrs.evolve(configuration, **changes)


def class_lists() -> st.SearchStrategy[tuple[RequestClass, ...]]:
    """Return a strategy of classes with short paths that often overlap."""
    paths = st.lists(_SMALL_PATHS, min_size=1, max_size=5)
    return paths.map(
        lambda chosen: tuple(
            make_class(f"class-{number}", path) for number, path in enumerate(chosen)
        )
    )


def request_paths() -> st.SearchStrategy[str]:
    """Return a strategy of paths of requests."""
    return _SMALL_PATHS


def configurations() -> st.SearchStrategy[Configuration]:
    """Return a strategy of configurations that differ in few fields."""
    servers = st.builds(
        make_server,
        number=st.integers(1, 3),
        slots=st.integers(1, 2),
        is_out=st.booleans(),
    )
    services = st.builds(
        make_service,
        classes=class_lists(),
        servers=st.lists(servers, max_size=2, unique_by=lambda each: each.name).map(
            tuple
        ),
    )
    return services.map(make_configuration)

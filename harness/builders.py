"""Builders of test data that several packages share."""

from datetime import timedelta
from typing import Any, Final

import yaml

from pomelotrail_core.configuration import (
    AvailabilityZone,
    BackendServer,
    Configuration,
    RequestClass,
    Service,
)
from pomelotrail_core.endpoint import Endpoint
from pomelotrail_core.routing import RoutingToken, TokenKeys

TOKEN_KEY: Final = bytes(range(16))
FLEET_KEY: Final = bytes(range(32))
LEDGER_NUMBER: Final = 1


def token_keys() -> TokenKeys:
    """Return keys with one generation."""
    return TokenKeys(0, {0: TOKEN_KEY})


def routing_token(**changes: Any) -> RoutingToken:
    """Return the token of a companion in the first availability zone."""
    fields = {
        "zone_number": 1,
        "companion": Endpoint("192.0.2.9", 7000),
        "service_number": LEDGER_NUMBER,
        "incarnation": 77,
        **changes,
    }
    return RoutingToken(**fields)


def request_class(**changes: Any) -> RequestClass:
    """Return a request class for reading the board."""
    fields = {
        "name": "read-board",
        "method": "GET",
        "path": "/board",
        "within": timedelta(milliseconds=300),
        "share": 0.99,
        "run_once": False,
        "deadline": timedelta(seconds=30),
        "body_limit": 1_000_000,
        **changes,
    }
    return RequestClass(**fields)


def backend_server(number: int = 1, **changes: Any) -> BackendServer:
    """Return a backend server of the stock ledger."""
    fields = {
        "name": f"ledger-{number}",
        "zone": "veraval",
        "packets": Endpoint(f"192.0.2.{number}", 7000),
        "control": Endpoint(f"192.0.2.{number}", 7001),
        "slots": 5,
        "connections": 2000,
        **changes,
    }
    return BackendServer(**fields)


def configuration(
    version: int = 1,
    zones_out: frozenset[str] = frozenset(),
    servers: tuple[BackendServer, ...] | None = None,
    classes: tuple[RequestClass, ...] | None = None,
) -> Configuration:
    """Return a configuration with the stock ledger in three zones."""
    names = ("veraval", "porbandar", "jafrabad")
    if servers is None:
        servers = tuple(
            backend_server(number, zone=names[number % 3]) for number in range(1, 8)
        )
    service = Service(
        "stock-ledger", LEDGER_NUMBER, classes or (request_class(),), servers
    )
    zones = tuple(
        AvailabilityZone(name, number + 1, is_out=name in zones_out)
        for number, name in enumerate(names)
    )
    return Configuration(version, zones, (service,), ())


def document(version: int = 1, **changes: Any) -> str:
    """Return a YAML document with one service, in the form that operators publish."""
    content = {
        "version": version,
        "zones": [{"name": "veraval", "number": 1}],
        "services": [
            {
                "name": "stock-ledger",
                "number": LEDGER_NUMBER,
                "classes": [
                    {
                        "name": "read-board",
                        "method": "GET",
                        "path": "/board",
                        "target": {"within": "300 ms", "share": 0.99},
                    }
                ],
                "backend_servers": [
                    {
                        "name": "ledger-1",
                        "zone": "veraval",
                        "packets": "192.0.2.9:7000",
                        "control": "192.0.2.9:7001",
                        "slots": 5,
                        "connections": 2000,
                    }
                ],
            }
        ],
        **changes,
    }
    return yaml.safe_dump(content)


def large_document(
    version: int = 1, servers: int = 100, balancers: int = 10, zones: int = 14
) -> dict[str, Any]:
    """Return a document with up to ten backend servers for each service."""
    names = [f"zone-{number:02}" for number in range(zones)]
    return {
        "version": version,
        "zones": [
            {"name": name, "number": number + 1, "region": f"region-{number % 4}"}
            for number, name in enumerate(names)
        ],
        "balancers": [
            {
                "name": f"balancer-{number:04}",
                "zone": names[number % zones],
                **_addresses(200, number),
            }
            for number in range(balancers)
        ],
        "services": [
            {
                "name": f"service-{first // 10:04}",
                "number": first // 10 + 1,
                "classes": [
                    {
                        "name": "read",
                        "method": "GET",
                        "path": "/read",
                        "target": {"within": "300 ms", "share": 0.99},
                    }
                ],
                "backend_servers": [
                    {
                        "name": f"server-{number:05}",
                        "zone": names[number % zones],
                        **_addresses(100, number),
                        "slots": 5,
                        "connections": 2000,
                    }
                    for number in range(first, min(first + 10, servers))
                ],
            }
            for first in range(0, servers, 10)
        ],
    }


def _addresses(network: int, number: int) -> dict[str, str]:
    """Return the addresses of the process with a number."""
    host = f"10.{network + (number >> 16)}.{number >> 8 & 255}.{number & 255}"
    return {"packets": f"{host}:7000", "control": f"{host}:7001"}

"""Reads and checks the YAML document; every program uses these same rules.

A document looks like this::

    version: 12
    zones:
      - {name: rajkot, number: 1}
    balancers:
      - {name: lb-1, zone: rajkot, packets: 192.0.2.1:7000, control: 192.0.2.1:7001}
    services:
      - name: stock-ledger
        number: 1
        classes:
          - {name: post-entry, method: POST, path: /entries, run_once: true,
             target: {within: 300 ms, share: 0.99}}
        backend_servers:
          - {name: ledger-1, zone: rajkot, packets: 192.0.2.9:7000,
             control: 192.0.2.9:7001, slots: 5, connections: 2000}
"""

from collections import Counter
from typing import Any, Final

import voluptuous as vol
from result import Err, Ok, Result

from pomelotrail_core.settings.loader import parse_document
from pomelotrail_core.settings.validators import duration, endpoint

from .const import (
    DEFAULT_BODY_BYTES,
    DEFAULT_DEADLINE,
    MAX_DOCUMENT_BYTES,
    MAX_SERVICE_NUMBER,
    MAX_ZONE_NUMBER,
)
from .document import (
    AvailabilityZone,
    BackendServer,
    Balancer,
    Configuration,
    RequestClass,
    Service,
)
from .errors import ConfigurationError

_NAME: Final = vol.All(str, vol.Match(r"^[a-z0-9][a-z0-9.-]{0,62}$"))
_POSITIVE: Final = vol.All(int, vol.Range(min=1))

_ZONE: Final = {
    vol.Required("name"): _NAME,
    vol.Required("number"): vol.All(int, vol.Range(min=1, max=MAX_ZONE_NUMBER)),
    vol.Optional("region", default="default"): _NAME,
    vol.Optional("out", default=False): bool,
}
_TARGET: Final = {
    vol.Required("within"): duration,
    vol.Required("share"): vol.All(
        vol.Coerce(float), vol.Range(min=0, max=1, min_included=False)
    ),
}
_CLASS: Final = {
    vol.Required("name"): _NAME,
    vol.Required("method"): vol.In(["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"]),
    vol.Required("path"): vol.All(str, vol.Match(r"^/")),
    vol.Required("target"): _TARGET,
    vol.Optional("run_once", default=False): bool,
    vol.Optional("stream", default=False): bool,
    vol.Optional("deadline", default=DEFAULT_DEADLINE): duration,
    vol.Optional("body_limit", default=DEFAULT_BODY_BYTES): _POSITIVE,
}
_BALANCER: Final = {
    vol.Required("name"): _NAME,
    vol.Required("zone"): _NAME,
    vol.Required("packets"): endpoint,
    vol.Required("control"): endpoint,
}
_BACKEND_SERVER: Final = {
    **_BALANCER,
    vol.Required("slots"): _POSITIVE,
    vol.Required("connections"): _POSITIVE,
    vol.Optional("out", default=False): bool,
}
_SERVICE: Final = {
    vol.Required("name"): _NAME,
    vol.Required("number"): vol.All(int, vol.Range(min=1, max=MAX_SERVICE_NUMBER)),
    vol.Required("classes"): vol.All([_CLASS], vol.Length(min=1)),
    vol.Required("backend_servers"): [_BACKEND_SERVER],
}
_DOCUMENT: Final = vol.Schema(
    {
        vol.Required("version"): _POSITIVE,
        vol.Required("zones"): vol.All([_ZONE], vol.Length(min=1)),
        vol.Required("services"): [_SERVICE],
        vol.Optional("balancers", default=[]): [_BALANCER],
    }
)


def parse_configuration(
    text: str, source: str = "document"
) -> Result[Configuration, ConfigurationError]:
    """Read a document; one wrong value refuses the whole."""
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        problem = f"{source} is larger than {MAX_DOCUMENT_BYTES} bytes; split services"
        return Err(ConfigurationError(problem))
    match parse_document(text, _DOCUMENT, source):
        case Err(error):
            return Err(ConfigurationError(str(error)))
        case Ok(document):
            return _check(_build(document), source)


def _build(document: dict[str, Any]) -> Configuration:
    """Make the typed configuration of a document that fits the schema."""
    return Configuration(
        version=document["version"],
        zones=tuple(_build_zone(entry) for entry in document["zones"]),
        services=tuple(_build_service(entry) for entry in document["services"]),
        balancers=tuple(Balancer(**entry) for entry in document["balancers"]),
    )


def _build_zone(entry: dict[str, Any]) -> AvailabilityZone:
    """Make one availability zone."""
    return AvailabilityZone(
        name=entry["name"],
        number=entry["number"],
        region=entry["region"],
        is_out=entry["out"],
    )


def _build_service(entry: dict[str, Any]) -> Service:
    """Make one service."""
    return Service(
        name=entry["name"],
        number=entry["number"],
        classes=tuple(_build_class(each) for each in entry["classes"]),
        backend_servers=tuple(
            _build_backend_server(each) for each in entry["backend_servers"]
        ),
    )


def _build_class(entry: dict[str, Any]) -> RequestClass:
    """Make one class of work."""
    return RequestClass(
        name=entry["name"],
        method=entry["method"],
        path=entry["path"],
        within=entry["target"]["within"],
        share=entry["target"]["share"],
        run_once=entry["run_once"],
        deadline=entry["deadline"],
        body_limit=entry["body_limit"],
        is_stream=entry["stream"],
    )


def _build_backend_server(entry: dict[str, Any]) -> BackendServer:
    """Make one backend server."""
    fields = {key: value for key, value in entry.items() if key != "out"}
    return BackendServer(is_out=entry["out"], **fields)


def _check(
    configuration: Configuration, source: str
) -> Result[Configuration, ConfigurationError]:
    """Check what a schema can't: unique names and numbers, known zones."""
    problems = [
        *_repeated("zones", "name", [zone.name for zone in configuration.zones]),
        *_repeated("zones", "number", [zone.number for zone in configuration.zones]),
        *_repeated("services", "name", [each.name for each in configuration.services]),
        *_repeated(
            "services", "number", [each.number for each in configuration.services]
        ),
        *_repeated("processes", "name", [each.name for each in _nodes(configuration)]),
        *_repeated(
            "processes", "packets", [each.packets for each in _nodes(configuration)]
        ),
        *_unknown_zones(configuration),
    ]
    if problems:
        return Err(ConfigurationError(f"{source}, {problems[0]}"))
    return Ok(configuration)


def _nodes(configuration: Configuration) -> list[Balancer | BackendServer]:
    """Return every balancer and backend server."""
    servers = [
        server
        for service in configuration.services
        for server in service.backend_servers
    ]
    return [*configuration.balancers, *servers]


def _repeated(place: str, key: str, values: list[Any]) -> list[str]:
    """Describe the values that stand more than once."""
    return [
        f"key {place!r}: {key} {value} stands {count} times; make each unique"
        for value, count in Counter(values).items()
        if count > 1
    ]


def _unknown_zones(configuration: Configuration) -> list[str]:
    """Describe the processes in availability zones that are not listed."""
    known = {zone.name for zone in configuration.zones}
    return [
        f"{node.name!r}: zone {node.zone!r} is not listed under zones; "
        f"use one of {', '.join(sorted(known))}"
        for node in _nodes(configuration)
        if node.zone not in known
    ]

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

Balancers and services may stand in parts that the root lists; see ``stream``.
"""

from collections import Counter
from typing import Any, Final

import attrs
import voluptuous as vol
from result import Err, Ok, Result

from pomelotrail_core.settings import SettingsError
from pomelotrail_core.settings.loader import parse_document
from pomelotrail_core.settings.validators import duration, endpoint

from .const import (
    DEFAULT_BODY_BYTES,
    DEFAULT_DEADLINE,
    MAX_DOCUMENT_BYTES,
    MAX_SERVICE_NUMBER,
    MAX_STREAM_BYTES,
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
from .stream import part_digest, split_stream

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
_DIGEST: Final = vol.All(str, vol.Match(r"^[0-9a-f]{32}$"))
_MEMBERS: Final = {
    vol.Optional("services", default=[]): [_SERVICE],
    vol.Optional("balancers", default=[]): [_BALANCER],
}
_ROOT: Final = {
    vol.Required("version"): _POSITIVE,
    vol.Required("zones"): vol.All([_ZONE], vol.Length(min=1)),
}
_SINGLE: Final = vol.Schema(
    {
        **_ROOT,
        vol.Required("services"): [_SERVICE],
        vol.Optional("balancers", default=[]): [_BALANCER],
    }
)
_ROOT_OF_PARTS: Final = vol.Schema(
    {
        **_ROOT,
        **_MEMBERS,
        vol.Required("parts"): vol.All([_DIGEST], vol.Length(min=1)),
    }
)
_PART: Final = vol.Schema(_MEMBERS)


@attrs.frozen
class _Fragment:
    """What one document of a stream says."""

    version: int
    zones: tuple[AvailabilityZone, ...]
    services: tuple[Service, ...]
    balancers: tuple[Balancer, ...]
    parts: tuple[str, ...]


class ConfigurationParser:
    """Parses versions one after the other, and parses each part only once.

    An unchanged part gives the same objects again, so that a change costs the
    parts that it touches.
    """

    def __init__(self) -> None:
        """Start without any part."""
        self._fragments: dict[str, _Fragment] = {}

    def parse(
        self, text: str, source: str = "document"
    ) -> Result[Configuration, ConfigurationError]:
        """Read a document; one wrong value refuses the whole."""
        documents = split_stream(text)
        if problem := _too_large(documents, source):
            return Err(ConfigurationError(problem))
        fragments: dict[str, _Fragment] = {}
        for index, document in enumerate(documents):
            match self._fragment(document, index, len(documents), source):
                case Err(error):
                    return Err(ConfigurationError(str(error)))
                case Ok(fragment):
                    fragments[document] = fragment
        root = fragments[documents[0]]
        if problem := _wrong_parts(root, documents[1:], source):
            return Err(ConfigurationError(problem))
        self._fragments = fragments
        return _check(_join([fragments[each] for each in documents]), source)

    def _fragment(
        self, document: str, index: int, count: int, source: str
    ) -> Result[_Fragment, SettingsError]:
        """Return what one document says, parsed anew only if it is new."""
        known = self._fragments.get(document)
        if known is not None and bool(known.version) == (index == 0):
            return Ok(known)
        place = source if index == 0 else f"{source}, part {index}"
        schema = _PART
        if index == 0:
            schema = _SINGLE if count == 1 else _ROOT_OF_PARTS
        match parse_document(document, schema, place):
            case Err(error):
                return Err(error)
            case Ok(checked):
                return Ok(_build(checked))


def parse_configuration(
    text: str, source: str = "document"
) -> Result[Configuration, ConfigurationError]:
    """Read a document; one wrong value refuses the whole."""
    return ConfigurationParser().parse(text, source)


def _too_large(documents: list[str], source: str) -> str:
    """Describe a document that the service could not hold."""
    sizes = [len(document.encode()) for document in documents]
    if max(sizes) > MAX_DOCUMENT_BYTES:
        return (
            f"{source} is larger than {MAX_DOCUMENT_BYTES} bytes; "
            "move services into parts"
        )
    if sum(sizes) > MAX_STREAM_BYTES:
        return f"{source} with its parts is larger than {MAX_STREAM_BYTES} bytes"
    return ""


def _wrong_parts(root: _Fragment, parts: list[str], source: str) -> str:
    """Describe a stream whose parts are not those that the root lists."""
    found = tuple(part_digest(part).hex() for part in parts)
    if found == root.parts:
        return ""
    return (
        f"{source}, key 'parts': lists other parts than those that follow; "
        "publish every part before the root that lists it"
    )


def _build(document: dict[str, Any]) -> _Fragment:
    """Make the typed objects of a document that fits its schema."""
    return _Fragment(
        version=document.get("version", 0),
        zones=tuple(_build_zone(entry) for entry in document.get("zones", ())),
        services=tuple(_build_service(entry) for entry in document["services"]),
        balancers=tuple(Balancer(**entry) for entry in document["balancers"]),
        parts=tuple(document.get("parts", ())),
    )


def _join(fragments: list[_Fragment]) -> Configuration:
    """Make one configuration of the root and its parts."""
    root = fragments[0]
    return Configuration(
        version=root.version,
        zones=root.zones,
        services=tuple(each for part in fragments for each in part.services),
        balancers=tuple(each for part in fragments for each in part.balancers),
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
    nodes = _nodes(configuration)
    problems = [
        *_repeated("zones", "name", [zone.name for zone in configuration.zones]),
        *_repeated("zones", "number", [zone.number for zone in configuration.zones]),
        *_repeated("services", "name", [each.name for each in configuration.services]),
        *_repeated(
            "services", "number", [each.number for each in configuration.services]
        ),
        *_repeated("processes", "name", [each.name for each in nodes]),
        *_repeated("processes", "packets", [each.packets for each in nodes]),
        *_unknown_zones(configuration, nodes),
    ]
    if problems:
        return Err(ConfigurationError(f"{source}, {problems[0]}"))
    return Ok(configuration)


def _nodes(configuration: Configuration) -> list[Balancer | BackendServer]:
    """Return every balancer and backend server."""
    nodes: list[Balancer | BackendServer] = list(configuration.balancers)
    for service in configuration.services:
        nodes.extend(service.backend_servers)
    return nodes


def _repeated(place: str, key: str, values: list[Any]) -> list[str]:
    """Describe the values that stand more than once."""
    if len(set(values)) == len(values):
        return []
    return [
        f"key {place!r}: {key} {value} stands {count} times; make each unique"
        for value, count in Counter(values).items()
        if count > 1
    ]


def _unknown_zones(
    configuration: Configuration, nodes: list[Balancer | BackendServer]
) -> list[str]:
    """Describe the processes in availability zones that are not listed."""
    known = {zone.name for zone in configuration.zones}
    return [
        f"{node.name!r}: zone {node.zone!r} is not listed under zones; "
        f"use one of {', '.join(sorted(known))}"
        for node in nodes
        if node.zone not in known
    ]

"""Parsing and validation of the YAML document, shared by all programs.

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

Balancers and services may be in parts that the root lists; see ``stream``.
"""

from collections import Counter
from typing import Any, Final

import attrs
import voluptuous as vol
from result import Err, Ok, Result

from pomelotrail_core.settings import SettingsError
from pomelotrail_core.settings.loader import parse_document
from pomelotrail_core.settings.validators import duration, endpoint, number

from .const import (
    DEFAULT_BODY_LIMIT_BYTES,
    DEFAULT_DEADLINE,
    MAX_COUNT,
    MAX_DOCUMENT_BYTES,
    MAX_SERVICE_NUMBER,
    MAX_STREAM_BYTES,
    MAX_VERSION,
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
_COUNT: Final = vol.All(int, vol.Range(min=1, max=MAX_COUNT))

_ZONE: Final = {
    vol.Required("name"): _NAME,
    vol.Required("number"): vol.All(int, vol.Range(min=1, max=MAX_ZONE_NUMBER)),
    vol.Optional("region", default="default"): _NAME,
    vol.Optional("out", default=False): bool,
}
_TARGET: Final = {
    vol.Required("within"): duration,
    vol.Required("share"): vol.All(number, vol.Range(min=0, max=1, min_included=False)),
}
_CLASS: Final = {
    vol.Required("name"): _NAME,
    vol.Required("method"): vol.In(["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH"]),
    vol.Required("path"): vol.All(str, vol.Match(r"^/")),
    vol.Required("target"): _TARGET,
    vol.Optional("run_once", default=False): bool,
    vol.Optional("stream", default=False): bool,
    vol.Optional("deadline", default=DEFAULT_DEADLINE): duration,
    vol.Optional("body_limit", default=DEFAULT_BODY_LIMIT_BYTES): _POSITIVE,
}
_BALANCER: Final = {
    vol.Required("name"): _NAME,
    vol.Required("zone"): _NAME,
    vol.Required("packets"): endpoint,
    vol.Required("control"): endpoint,
}
_BACKEND_SERVER: Final = {
    **_BALANCER,
    vol.Required("slots"): _COUNT,
    vol.Required("connections"): _COUNT,
    vol.Optional("out", default=False): bool,
}
_SERVICE: Final = {
    vol.Required("name"): _NAME,
    vol.Required("number"): vol.All(int, vol.Range(min=1, max=MAX_SERVICE_NUMBER)),
    vol.Required("classes"): vol.All([_CLASS], vol.Length(min=1)),
    vol.Required("backend_servers"): [_BACKEND_SERVER],
}
_DIGEST: Final = vol.All(str, vol.Match(r"^[0-9a-f]{32}$"))
_MEMBER_KEYS: Final = {
    vol.Optional("services", default=[]): [_SERVICE],
    vol.Optional("balancers", default=[]): [_BALANCER],
}
_ROOT_KEYS: Final = {
    vol.Required("version"): vol.All(int, vol.Range(min=1, max=MAX_VERSION)),
    vol.Required("zones"): vol.All([_ZONE], vol.Length(min=1)),
}
_SINGLE_DOCUMENT_SCHEMA: Final = vol.Schema(
    {
        **_ROOT_KEYS,
        vol.Required("services"): [_SERVICE],
        vol.Optional("balancers", default=[]): [_BALANCER],
    }
)
_PARTITIONED_ROOT_SCHEMA: Final = vol.Schema(
    {
        **_ROOT_KEYS,
        **_MEMBER_KEYS,
        vol.Required("parts"): vol.All([_DIGEST], vol.Length(min=1)),
    }
)
_PART_SCHEMA: Final = vol.Schema(_MEMBER_KEYS)


@attrs.frozen
class _Fragment:
    """The content of one document of a stream."""

    version: int
    zones: tuple[AvailabilityZone, ...]
    services: tuple[Service, ...]
    balancers: tuple[Balancer, ...]
    parts: tuple[str, ...]


class ConfigurationParser:
    """Parses successive versions, reusing the result for unchanged parts.

    An unchanged part yields the same objects again, so the cost of a change
    depends only on the parts that it affects.
    """

    def __init__(self) -> None:
        """Initialize with an empty cache."""
        self._cached_fragments: dict[str, _Fragment] = {}

    def parse(
        self, text: str, source: str = "document"
    ) -> Result[Configuration, ConfigurationError]:
        """Parse a document; one invalid value rejects the whole document."""
        documents = split_stream(text)
        if error := _excess_size(documents, source):
            return Err(error)
        fragments: dict[str, _Fragment] = {}
        for index, document in enumerate(documents):
            match self._parse_fragment(document, index, len(documents), source):
                case Err(error):
                    return Err(_to_configuration_error(error))
                case Ok(fragment):
                    fragments[document] = fragment
        root = fragments[documents[0]]
        if error := _part_mismatch(root, documents[1:], source):
            return Err(error)
        self._cached_fragments = fragments
        return _check(_join([fragments[each] for each in documents]), source)

    def _parse_fragment(
        self, document: str, index: int, count: int, source: str
    ) -> Result[_Fragment, SettingsError]:
        """Return the content of one document, parsed only if it is not cached."""
        known = self._cached_fragments.get(document)
        if known is not None and bool(known.version) == (index == 0):
            return Ok(known)
        place = source if index == 0 else f"{source}, part {index}"
        schema = _PART_SCHEMA
        if index == 0:
            schema = _SINGLE_DOCUMENT_SCHEMA if count == 1 else _PARTITIONED_ROOT_SCHEMA
        match parse_document(document, schema, place):
            case Err(error):
                return Err(error)
            case Ok(checked):
                return Ok(_build(checked))


def parse_configuration(
    text: str, source: str = "document"
) -> Result[Configuration, ConfigurationError]:
    """Parse a document; one invalid value rejects the whole document."""
    return ConfigurationParser().parse(text, source)


def _to_configuration_error(error: SettingsError) -> ConfigurationError:
    """Return the error of a document that doesn't match its schema."""
    return ConfigurationError(error.source, error.key, error.problem, error.remedy)


def _excess_size(documents: list[str], source: str) -> ConfigurationError | None:
    """Return the error of a document that exceeds a size limit, or None."""
    sizes = [len(document.encode()) for document in documents]
    if max(sizes) > MAX_DOCUMENT_BYTES:
        problem = f"is larger than {MAX_DOCUMENT_BYTES} bytes"
        return ConfigurationError(source, "", problem, "move services into parts")
    if sum(sizes) > MAX_STREAM_BYTES:
        problem = f"is larger than {MAX_STREAM_BYTES} bytes with its parts"
        return ConfigurationError(source, "", problem, "remove entries")
    return None


def _part_mismatch(
    root: _Fragment, parts: list[str], source: str
) -> ConfigurationError | None:
    """Return the error of parts that the root does not list, or None."""
    found = tuple(part_digest(part).hex() for part in parts)
    if found == root.parts:
        return None
    return ConfigurationError(
        source,
        "parts",
        "lists other parts than those that follow",
        "publish every part before the root that lists it",
    )


def _build(document: dict[str, Any]) -> _Fragment:
    """Build the typed objects of a document that matches its schema."""
    return _Fragment(
        version=document.get("version", 0),
        zones=tuple(_build_zone(entry) for entry in document.get("zones", ())),
        services=tuple(_build_service(entry) for entry in document["services"]),
        balancers=tuple(Balancer(**entry) for entry in document["balancers"]),
        parts=tuple(document.get("parts", ())),
    )


def _join(fragments: list[_Fragment]) -> Configuration:
    """Build one configuration from the root and its parts."""
    root = fragments[0]
    return Configuration(
        version=root.version,
        zones=root.zones,
        services=tuple(each for part in fragments for each in part.services),
        balancers=tuple(each for part in fragments for each in part.balancers),
    )


def _build_zone(entry: dict[str, Any]) -> AvailabilityZone:
    """Build an availability zone."""
    return AvailabilityZone(
        name=entry["name"],
        number=entry["number"],
        region=entry["region"],
        is_out=entry["out"],
    )


def _build_service(entry: dict[str, Any]) -> Service:
    """Build a service."""
    return Service(
        name=entry["name"],
        number=entry["number"],
        classes=tuple(_build_class(each) for each in entry["classes"]),
        backend_servers=tuple(
            _build_backend_server(each) for each in entry["backend_servers"]
        ),
    )


def _build_class(entry: dict[str, Any]) -> RequestClass:
    """Build a request class."""
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
    """Build a backend server."""
    fields = {key: value for key, value in entry.items() if key != "out"}
    return BackendServer(is_out=entry["out"], **fields)


def _check(
    configuration: Configuration, source: str
) -> Result[Configuration, ConfigurationError]:
    """Check what the schema can't: unique names and numbers, known zones."""
    nodes = _all_processes(configuration)
    uniques: list[tuple[str, str, list[Any]]] = [
        ("zones", "name", [zone.name for zone in configuration.zones]),
        ("zones", "number", [zone.number for zone in configuration.zones]),
        ("services", "name", [each.name for each in configuration.services]),
        ("services", "number", [each.number for each in configuration.services]),
        ("processes", "name", [each.name for each in nodes]),
        ("processes", "packets", [each.packets for each in nodes]),
    ]
    for place, key, values in uniques:
        if problem := _describe_duplicate(key, values):
            return Err(ConfigurationError(source, place, problem, "make each unique"))
    if error := _unknown_zone(configuration, nodes, source):
        return Err(error)
    return Ok(configuration)


def _all_processes(configuration: Configuration) -> list[Balancer | BackendServer]:
    """Return every balancer and backend server."""
    nodes: list[Balancer | BackendServer] = list(configuration.balancers)
    for service in configuration.services:
        nodes.extend(service.backend_servers)
    return nodes


def _describe_duplicate(key: str, values: list[Any]) -> str:
    """Return the problem of a value that occurs more than once, or empty."""
    if len(set(values)) == len(values):
        return ""
    value, count = Counter(values).most_common(1)[0]
    return f"{key} {value} occurs {count} times"


def _unknown_zone(
    configuration: Configuration, nodes: list[Balancer | BackendServer], source: str
) -> ConfigurationError | None:
    """Return the error of a process in an unlisted availability zone, or None."""
    known = {zone.name for zone in configuration.zones}
    for node in nodes:
        if node.zone not in known:
            problem = f"{node.zone!r} is not listed under zones"
            remedy = f"use one of {', '.join(sorted(known))}"
            return ConfigurationError(source, f"{node.name}.zone", problem, remedy)
    return None

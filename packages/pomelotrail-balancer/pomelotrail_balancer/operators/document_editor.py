"""Edits the operators' document and leaves everything else as it stands.

Loading a document and dumping it again loses comments, order and layout. The
editor therefore asks PyYAML only where a value stands in the text, and changes
just those characters. The outcome is parsed again, and refused if anything
differs from what was asked for.
"""

from collections.abc import Sequence
from typing import Final

import attrs
import yaml
from result import Err, Ok, Result
from yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from pomelotrail_core.configuration import Configuration, parse_configuration

from .document_file import DocumentFile
from .errors import CommandError

_ZONES: Final = "zones"
_SERVICES: Final = "services"
_BACKEND_SERVERS: Final = "backend_servers"


@attrs.frozen
class Change:
    """A change to some characters of the text."""

    start: int
    end: int
    text: str


def set_zone_out(
    document: DocumentFile, name: str, is_out: bool
) -> Result[str, CommandError]:
    """Return the next version, with an availability zone out or in."""
    zone = document.configuration.zone(name)
    if zone is None:
        known = ", ".join(each.name for each in document.configuration.zones)
        return Err(_not_listed("availability zone", name, document, known))
    if zone.is_out == is_out:
        return Err(_already("availability zone", name, is_out, document))
    zones = tuple(
        attrs.evolve(each, is_out=is_out) if each.name == name else each
        for each in document.configuration.zones
    )
    wanted = attrs.evolve(document.configuration, zones=zones)
    entry = _entry(_child(_compose(document.text), _ZONES), name)
    return _edit(document, entry, is_out, wanted)


def set_backend_server_out(
    document: DocumentFile, name: str, is_out: bool
) -> Result[str, CommandError]:
    """Return the next version, with a backend server out or in."""
    servers = {
        server.name: server
        for service in document.configuration.services
        for server in service.backend_servers
    }
    if name not in servers:
        return Err(_not_listed("backend server", name, document, ", ".join(servers)))
    if servers[name].is_out == is_out:
        return Err(_already("backend server", name, is_out, document))
    services = tuple(
        attrs.evolve(
            service,
            backend_servers=tuple(
                attrs.evolve(each, is_out=is_out) if each.name == name else each
                for each in service.backend_servers
            ),
        )
        for service in document.configuration.services
    )
    wanted = attrs.evolve(document.configuration, services=services)
    entry = _backend_server_entry(document.text, name)
    return _edit(document, entry, is_out, wanted)


def _edit(
    document: DocumentFile,
    entry: MappingNode | None,
    is_out: bool,
    wanted: Configuration,
) -> Result[str, CommandError]:
    """Set ``out`` of an entry, raise the version, and check the outcome."""
    version = document.configuration.version + 1
    wanted = attrs.evolve(wanted, version=version)
    version_node = _child(_compose(document.text), "version")
    if entry is None or not isinstance(version_node, ScalarNode):
        return Err(_by_hand(document))
    changes = [
        _out_change(document.text, entry, is_out),
        _replace(version_node, str(version)),
    ]
    text = _apply(document.text, changes)
    match parse_configuration(text, document.source):
        case Ok(configuration) if configuration == wanted:
            return Ok(text)
        case _:
            return Err(_by_hand(document))


def _out_change(text: str, entry: MappingNode, is_out: bool) -> Change:
    """Return the change that puts an entry out or in."""
    value = "true" if is_out else "false"
    present = _child(entry, "out")
    if present is not None:
        return _replace(present, value)
    last_key, last_value = entry.value[-1]
    if entry.flow_style:
        place = last_value.end_mark.index
        return Change(place, place, f", out: {value}")
    first_key = entry.value[0][0]
    place = _end_of_line(text, _end(last_value))
    line_break = "\n"
    return Change(
        place, place, f"{line_break}{' ' * first_key.start_mark.column}out: {value}"
    )


def _end(node: Node) -> int:
    """Return where the text of a node ends, without what follows a block."""
    if isinstance(node, MappingNode) and not node.flow_style and node.value:
        return _end(node.value[-1][1])
    if isinstance(node, SequenceNode) and not node.flow_style and node.value:
        return _end(node.value[-1])
    return node.end_mark.index


def _end_of_line(text: str, place: int) -> int:
    """Return where the line ends in which ``place`` lies."""
    end = text.find("\n", place)
    return len(text) if end < 0 else end


def _replace(node: Node, value: str) -> Change:
    """Return the change that replaces a scalar."""
    return Change(node.start_mark.index, node.end_mark.index, value)


def _apply(text: str, changes: Sequence[Change]) -> str:
    """Return the text after the changes, made from its end to its start."""
    for change in sorted(changes, key=lambda change: change.start, reverse=True):
        text = text[: change.start] + change.text + text[change.end :]
    return text


def _compose(text: str) -> Node | None:
    """Return the nodes of a document with their places."""
    return yaml.compose(text, Loader=yaml.CSafeLoader)


def _child(node: Node | None, key: str) -> Node | None:
    """Return the value of a key of a mapping."""
    if not isinstance(node, MappingNode):
        return None
    return next((value for name, value in node.value if name.value == key), None)


def _entry(node: Node | None, name: str) -> MappingNode | None:
    """Return the entry of a list that has this name."""
    if not isinstance(node, SequenceNode):
        return None
    return next((each for each in node.value if _has_name(each, name)), None)


def _has_name(node: Node, name: str) -> bool:
    """Tell whether a mapping has this name."""
    value = _child(node, "name")
    return isinstance(value, ScalarNode) and value.value == name


def _backend_server_entry(text: str, name: str) -> MappingNode | None:
    """Return the entry of a backend server."""
    services = _child(_compose(text), _SERVICES)
    if not isinstance(services, SequenceNode):
        return None
    entries = [
        _entry(_child(service, _BACKEND_SERVERS), name) for service in services.value
    ]
    return next((entry for entry in entries if entry is not None), None)


def _not_listed(
    kind: str, name: str, document: DocumentFile, known: str
) -> CommandError:
    """Return the error for a name that the document does not have."""
    return CommandError(
        f"{kind} {name!r} is not in {document.source}; use one of: {known}"
    )


def _already(
    kind: str, name: str, is_out: bool, document: DocumentFile
) -> CommandError:
    """Return the error for an order that is already given."""
    state, other = ("out", "in") if is_out else ("in", "out")
    return CommandError(
        f"{kind} {name!r} is already {state} in {document.source} (version "
        f"{document.configuration.version}); nothing to do, or did you mean {other!r}?"
    )


def _by_hand(document: DocumentFile) -> CommandError:
    """Return the error for a layout that the editor can't change safely."""
    return CommandError(
        f"{document.source}: the layout (an anchor or a merge key, say) can't be "
        "edited without touching other entries; set 'out' and raise 'version' by "
        "hand, then run pomelotrail check"
    )

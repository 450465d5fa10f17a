"""Edits a configuration document without changing the rest of its text.

Loading and dumping a document loses comments, order and layout. The editor
therefore uses PyYAML only to locate a value in the text, and changes just those
characters. The result is parsed again, and rejected if it differs from the
expected configuration.
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
    """Replacement of a range of the text."""

    start: int
    end: int
    text: str


def set_zone_out(
    document: DocumentFile, name: str, is_out: bool
) -> Result[str, CommandError]:
    """Return the next version, with an availability zone out of or in service."""
    zone = document.configuration.zone(name)
    if zone is None:
        known = ", ".join(each.name for each in document.configuration.zones)
        return Err(_unknown_name_error("availability zone", name, document, known))
    if zone.is_out == is_out:
        return Err(_already_set_error("availability zone", name, is_out, document))
    zones = tuple(
        attrs.evolve(each, is_out=is_out) if each.name == name else each
        for each in document.configuration.zones
    )
    expected = attrs.evolve(document.configuration, zones=zones)
    entry = _entry(_child(_compose(document.text), _ZONES), name)
    return _edit(document, entry, is_out, expected)


def set_backend_server_out(
    document: DocumentFile, name: str, is_out: bool
) -> Result[str, CommandError]:
    """Return the next version, with a backend server out of or in service."""
    servers = {
        server.name: server
        for service in document.configuration.services
        for server in service.backend_servers
    }
    if name not in servers:
        return Err(
            _unknown_name_error("backend server", name, document, ", ".join(servers))
        )
    if servers[name].is_out == is_out:
        return Err(_already_set_error("backend server", name, is_out, document))
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
    expected = attrs.evolve(document.configuration, services=services)
    entry = _backend_server_entry(document.text, name)
    return _edit(document, entry, is_out, expected)


def _edit(
    document: DocumentFile,
    entry: MappingNode | None,
    is_out: bool,
    expected: Configuration,
) -> Result[str, CommandError]:
    """Set ``out`` of an entry, increment the version, and check the result."""
    version = document.configuration.version + 1
    expected = attrs.evolve(expected, version=version)
    version_node = _child(_compose(document.text), "version")
    if entry is None or not isinstance(version_node, ScalarNode):
        return Err(_unsupported_layout_error(document))
    changes = [
        _out_change(document.text, entry, is_out),
        _replace(version_node, str(version)),
    ]
    text = _apply(document.text, changes)
    match parse_configuration(text, document.source):
        case Ok(configuration) if configuration == expected:
            return Ok(text)
        case _:
            return Err(_unsupported_layout_error(document))


def _out_change(text: str, entry: MappingNode, is_out: bool) -> Change:
    """Return the change that sets ``out`` of an entry."""
    value = "true" if is_out else "false"
    present = _child(entry, "out")
    if present is not None:
        return _replace(present, value)
    last_key, last_value = entry.value[-1]
    if entry.flow_style:
        position = last_value.end_mark.index
        return Change(position, position, f", out: {value}")
    first_key = entry.value[0][0]
    position = _end_of_line(text, _end_position(last_value))
    line_break = "\n"
    return Change(
        position,
        position,
        f"{line_break}{' ' * first_key.start_mark.column}out: {value}",
    )


def _end_position(node: Node) -> int:
    """Return the end position of a node, without the text after a block."""
    if isinstance(node, MappingNode) and not node.flow_style and node.value:
        return _end_position(node.value[-1][1])
    if isinstance(node, SequenceNode) and not node.flow_style and node.value:
        return _end_position(node.value[-1])
    return node.end_mark.index


def _end_of_line(text: str, position: int) -> int:
    """Return the end of the line that contains ``position``."""
    end = text.find("\n", position)
    return len(text) if end < 0 else end


def _replace(node: Node, value: str) -> Change:
    """Return the change that replaces a scalar."""
    return Change(node.start_mark.index, node.end_mark.index, value)


def _apply(text: str, changes: Sequence[Change]) -> str:
    """Apply the changes from the end of the text to its start."""
    for change in sorted(changes, key=lambda change: change.start, reverse=True):
        text = text[: change.start] + change.text + text[change.end :]
    return text


def _compose(text: str) -> Node | None:
    """Return the nodes of a document with their positions."""
    return yaml.compose(text, Loader=yaml.CSafeLoader)


def _child(node: Node | None, key: str) -> Node | None:
    """Return the value of a key of a mapping."""
    if not isinstance(node, MappingNode):
        return None
    return next((value for name, value in node.value if name.value == key), None)


def _entry(node: Node | None, name: str) -> MappingNode | None:
    """Return the list entry with this name."""
    if not isinstance(node, SequenceNode):
        return None
    return next((each for each in node.value if _has_name(each, name)), None)


def _has_name(node: Node, name: str) -> bool:
    """Return whether a mapping has this name."""
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


def _unknown_name_error(
    kind: str, name: str, document: DocumentFile, known: str
) -> CommandError:
    """Return the error for a name that is not in the document."""
    return CommandError(
        f"{kind} {name!r} is not in {document.source}; use one of: {known}"
    )


def _already_set_error(
    kind: str, name: str, is_out: bool, document: DocumentFile
) -> CommandError:
    """Return the error for an order that is already in effect."""
    state, other = ("out", "in") if is_out else ("in", "out")
    return CommandError(
        f"{kind} {name!r} is already {state} in {document.source} (version "
        f"{document.configuration.version}); nothing to do, or did you mean {other!r}?"
    )


def _unsupported_layout_error(document: DocumentFile) -> CommandError:
    """Return the error for a layout that the editor can't change safely."""
    return CommandError(
        f"{document.source}: the layout (an anchor or a merge key, say) can't be "
        "edited without touching other entries; set 'out' and raise 'version' by "
        "hand, then run pomelotrail check"
    )

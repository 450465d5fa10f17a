"""Splits a large document into a root and parts for operators to publish."""

from collections.abc import Iterator, Sequence
from typing import Any, Final, TypeAlias

import attrs
import yaml

from .stream import join_stream, part_digest

PART_BYTES: Final = 16_000
_BALANCERS_PER_PART: Final = 150
_LINE_WIDTH: Final = 1_000

# A mapping loaded from YAML; the parser validates it.
YamlMapping: TypeAlias = dict[str, Any]


@attrs.frozen
class PartitionedDocument:
    """A root document and its parts, each a value of the service.

    A part is published under its hexadecimal digest, before the root that lists
    it.
    """

    root: str
    parts: tuple[str, ...]

    @property
    def text(self) -> str:
        """Return the stream that every process validates and distributes."""
        return join_stream(self.root, self.parts)


def split_into_parts(
    document: YamlMapping, part_bytes: int = PART_BYTES
) -> PartitionedDocument:
    """Move the balancers and services of a document into parts."""
    parts = tuple(_parts(document, part_bytes))
    root = {
        key: value
        for key, value in document.items()
        if key not in ("balancers", "services", "parts")
    }
    digests = "".join(f'  - "{part_digest(part).hex()}"\n' for part in parts)
    return PartitionedDocument(f"{_dump_yaml(root)}parts:\n{digests}", parts)


def _parts(document: YamlMapping, part_bytes: int) -> Iterator[str]:
    """Yield the text of each part: balancers first, then whole services."""
    balancers = document.get("balancers", [])
    for start in range(0, len(balancers), _BALANCERS_PER_PART):
        chunk = balancers[start : start + _BALANCERS_PER_PART]
        yield _dump_yaml({"balancers": chunk})
    yield from _service_parts(document.get("services", []), part_bytes)


def _service_parts(services: Sequence[YamlMapping], part_bytes: int) -> Iterator[str]:
    """Yield parts of services, each filled up to ``part_bytes``."""
    texts: list[str] = []
    size = 0
    for service in services:
        text = _dump_yaml([service])
        if texts and size + len(text) > part_bytes:
            yield "services:\n" + "".join(texts)
            texts, size = [], 0
        texts.append(text)
        size += len(text)
    if texts:
        yield "services:\n" + "".join(texts)


def _dump_yaml(value: YamlMapping | list[YamlMapping]) -> str:
    """Return YAML text with one line for each list entry."""
    return yaml.dump(
        value,
        Dumper=yaml.CSafeDumper,
        sort_keys=False,
        default_flow_style=None,
        width=_LINE_WIDTH,
    )

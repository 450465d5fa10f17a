"""Makes a root and parts of one large document, for operators to publish."""

from collections.abc import Iterator, Sequence
from typing import Any, Final, TypeAlias

import attrs
import yaml

from .stream import join_stream, part_digest

PART_BYTES: Final = 16_000
_BALANCERS_PER_PART: Final = 150
_WIDTH: Final = 1_000

# A mapping as YAML gives it; checked by the parser, not here.
YamlMapping: TypeAlias = dict[str, Any]


@attrs.frozen
class PartedDocument:
    """A root document and its parts, each a value of the service.

    A part is published under the hexadecimal form of its digest, and before
    the root that lists it.
    """

    root: str
    parts: tuple[str, ...]

    @property
    def text(self) -> str:
        """Return the stream that every process checks and spreads."""
        return join_stream(self.root, self.parts)


def make_parts(document: YamlMapping, part_bytes: int = PART_BYTES) -> PartedDocument:
    """Move balancers and services of a document into parts."""
    parts = tuple(_parts(document, part_bytes))
    root = {
        key: value
        for key, value in document.items()
        if key not in ("balancers", "services", "parts")
    }
    digests = "".join(f'  - "{part_digest(part).hex()}"\n' for part in parts)
    return PartedDocument(f"{_dump(root)}parts:\n{digests}", parts)


def _parts(document: YamlMapping, part_bytes: int) -> Iterator[str]:
    """Return the texts of the parts: balancers first, then whole services."""
    balancers = document.get("balancers", [])
    for start in range(0, len(balancers), _BALANCERS_PER_PART):
        chunk = balancers[start : start + _BALANCERS_PER_PART]
        yield _dump({"balancers": chunk})
    yield from _service_parts(document.get("services", []), part_bytes)


def _service_parts(services: Sequence[YamlMapping], part_bytes: int) -> Iterator[str]:
    """Put services together until a part is full."""
    texts: list[str] = []
    size = 0
    for service in services:
        text = _dump([service])
        if texts and size + len(text) > part_bytes:
            yield "services:\n" + "".join(texts)
            texts, size = [], 0
        texts.append(text)
        size += len(text)
    if texts:
        yield "services:\n" + "".join(texts)


def _dump(value: YamlMapping | list[YamlMapping]) -> str:
    """Return the YAML text with one line for each entry of a list."""
    return yaml.dump(
        value,
        Dumper=yaml.CSafeDumper,
        sort_keys=False,
        default_flow_style=None,
        width=_WIDTH,
    )

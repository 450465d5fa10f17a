"""Deltas between two versions of the published text.

Whole parts are matched first, then the lines of parts that differ, so the cost
grows with the size of the change and not of the document.
"""

import zlib
from collections.abc import Iterator, Sequence
from difflib import SequenceMatcher
from itertools import accumulate
from typing import Final

import attrs
from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from .const import MAX_STREAM_BYTES
from .delta_pb2 import Delta, Step
from .errors import DeltaError
from .source import Document
from .stream import SEPARATOR

_COMPRESSION_LEVEL: Final = 6


@attrs.frozen
class _Block:
    """A range of base units and the range of target units that replaces it."""

    base_start: int
    base_end: int
    target_start: int
    target_end: int
    is_equal: bool


def make_delta(base: str, target: str) -> bytes:
    """Return the compressed steps that turn ``base`` into ``target``."""
    steps = list(_merge_steps(_steps(base, target)))
    return zlib.compress(Delta(steps=steps).SerializeToString(), _COMPRESSION_LEVEL)


def apply_delta(
    base: Document, delta: bytes, version: int, digest: bytes
) -> Result[Document, DeltaError]:
    """Return the document that results from applying a delta to ``base``.

    A result whose digest differs from ``digest`` is an error, so that a delta
    never yields a document other than the published one.
    """
    try:
        steps = Delta.FromString(decompress(delta)).steps
    except (DecodeError, zlib.error) as error:
        return Err(DeltaError(version, f"it can't be read: {error}"))
    text = "".join(
        base.text[step.start : step.start + step.size] + step.literal for step in steps
    )
    document = Document(version, text)
    if document.digest != digest:
        return Err(DeltaError(version, f"it does not fit version {base.version}"))
    return Ok(document)


def compress(text: str) -> bytes:
    """Return the compressed text of a whole document."""
    return zlib.compress(text.encode(), _COMPRESSION_LEVEL)


def decompress(data: bytes) -> bytes:
    """Return the decompressed data, limited to the maximum stream size."""
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(data, MAX_STREAM_BYTES)
    if not decompressor.eof:
        raise zlib.error("larger than the maximum stream size or truncated")
    return plain


def _steps(base: str, target: str) -> Iterator[Step]:
    """Compare the documents of two streams, then the lines of changed ones."""
    base_parts = base.split(SEPARATOR)
    target_parts = target.split(SEPARATOR)
    offsets = _offsets(base_parts, len(SEPARATOR))
    for block in _blocks(base_parts, target_parts):
        old = SEPARATOR.join(base_parts[block.base_start : block.base_end])
        new = SEPARATOR.join(target_parts[block.target_start : block.target_end])
        if block.target_start and block.target_end > block.target_start:
            yield Step(literal=SEPARATOR)
        yield from _line_steps(old, new, offsets[block.base_start], block.is_equal)


def _line_steps(old: str, new: str, offset: int, is_equal: bool) -> Iterator[Step]:
    """Compare two texts by line; ``offset`` is the start of the old one."""
    if is_equal:
        yield Step(start=offset, size=len(old))
        return
    old_lines = old.splitlines(keepends=True)
    new_lines = new.splitlines(keepends=True)
    offsets = _offsets(old_lines, 0)
    for block in _blocks(old_lines, new_lines):
        if block.is_equal:
            start = offsets[block.base_start]
            yield Step(start=offset + start, size=offsets[block.base_end] - start)
        else:
            lines = new_lines[block.target_start : block.target_end]
            yield Step(literal="".join(lines))


def _offsets(units: Sequence[str], gap: int) -> list[int]:
    """Return the start offset of each unit, followed by the end offset."""
    return list(accumulate((len(unit) + gap for unit in units), initial=0))


def _blocks(base: Sequence[str], target: Sequence[str]) -> Iterator[_Block]:
    """Yield the equal and the changed blocks in order."""
    matcher = SequenceMatcher(None, base, target, autojunk=False)
    for tag, *bounds in matcher.get_opcodes():
        yield _Block(*bounds, is_equal=tag == "equal")


def _merge_steps(steps: Iterator[Step]) -> Iterator[Step]:
    """Merge each copy step with the literals that follow it."""
    pending = Step()
    for step in steps:
        if step.size and (pending.size or pending.literal):
            yield pending
            pending = Step()
        if step.size:
            pending = step
        else:
            pending.literal += step.literal
    if pending.size or pending.literal:
        yield pending

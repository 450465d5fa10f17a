"""A configuration as a YAML stream: a root document and its parts.

The root document contains the version. For a large fleet, balancers and services
are moved into parts, which the root lists by digest, so that each value stored in
the configuration service stays small and an unchanged part is neither fetched nor
parsed again::

    version: 12
    zones:
      - {name: rajkot, number: 1}
    parts:
      - 9f2c0c1d5b7e4a60b1c2d3e4f5061728
    ---
    services:
      - name: stock-ledger
        ...
"""

import re
from collections.abc import Sequence
from hashlib import blake2b
from typing import Final

from .const import DIGEST_BYTES

# YAML forbids lines that start with --- inside a document, even in scalars.
_SEPARATOR_PATTERN: Final = re.compile(r"^---[ \t]*\n", re.MULTILINE)
SEPARATOR: Final = "---\n"


def text_digest(text: str) -> bytes:
    """Return the 16-byte digest of a text."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def part_digest(text: str) -> bytes:
    """Return the digest by which a root lists a part."""
    return text_digest(_with_newline(text))


def split_stream(text: str) -> list[str]:
    """Return the documents of a stream, the root first."""
    documents = _SEPARATOR_PATTERN.split(text)
    if len(documents) > 1 and not documents[0].strip():
        documents = documents[1:]
    return documents


def join_stream(root: str, parts: Sequence[str]) -> str:
    """Return the stream of a root and its parts."""
    return SEPARATOR.join(_with_newline(each) for each in (root, *parts))


def _with_newline(text: str) -> str:
    """Return the text with a newline after its last line."""
    return text if text.endswith("\n") else text + "\n"

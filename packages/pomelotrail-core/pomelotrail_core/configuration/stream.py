"""A configuration as a YAML stream: a root document and its parts.

The root document holds the version. A large fleet moves balancers and services
into parts, which the root lists by digest, so that each value of the service
stays small and an unchanged part is neither fetched nor parsed again::

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

# YAML allows no line that starts with --- inside a document, scalars included.
_SEPARATOR: Final = re.compile(r"^---[ \t]*\n", re.MULTILINE)
SEPARATOR: Final = "---\n"


def text_digest(text: str) -> bytes:
    """Return the digest of a text, 16 bytes."""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()


def part_digest(text: str) -> bytes:
    """Return the digest by which a root lists a part."""
    return text_digest(_with_newline(text))


def split_stream(text: str) -> list[str]:
    """Return the documents of a stream, the root first."""
    documents = _SEPARATOR.split(text)
    if len(documents) > 1 and not documents[0].strip():
        documents = documents[1:]
    return documents


def join_stream(root: str, parts: Sequence[str]) -> str:
    """Return the stream of a root and its parts."""
    return SEPARATOR.join(_with_newline(each) for each in (root, *parts))


def _with_newline(text: str) -> str:
    """Return the text with a line end after its last line."""
    return text if text.endswith("\n") else text + "\n"

"""Requests of callers and their answers, independent of the wire protocol."""

from collections.abc import AsyncIterator
from datetime import timedelta
from typing import TYPE_CHECKING

import attrs

from pomelotrail_core.configuration import RequestClass

from .proof import BackendContact

if TYPE_CHECKING:
    from .refusals import Refusal


@attrs.frozen
class Header:
    """One header field; names are in lower case."""

    name: str
    value: str


@attrs.frozen
class Request:
    """Request of a caller.

    ``deadline`` is the monotonic time by which the caller needs the answer;
    ``request_class`` is set by the dispatcher. ``body`` yields the body in chunks
    and can be read once. ``hops`` is the number of companions that have relayed the
    request; ``contact`` is shared by all copies of the request.
    """

    identifier: str
    flow: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: AsyncIterator[bytes]
    deadline: timedelta | None = None
    request_class: RequestClass | None = None
    hops: int = 0
    contact: BackendContact = attrs.field(factory=BackendContact, eq=False)

    def header(self, name: str) -> str | None:
        """Return the value of the first header of that name, or None."""
        return _first(self.headers, name)


@attrs.frozen
class Answer:
    """Answer to a request; ``body`` yields its chunks and can be read once.

    Reading an incomplete body raises an error. ``refusal`` is set if the answer
    comes from a companion and not from a backend server.
    """

    status: int
    headers: tuple[Header, ...]
    body: AsyncIterator[bytes]
    refusal: "Refusal | None" = None

    def header(self, name: str) -> str | None:
        """Return the value of the first header of that name, or None."""
        return _first(self.headers, name)


def _first(headers: tuple[Header, ...], name: str) -> str | None:
    """Return the value of the first header of that name."""
    return next((header.value for header in headers if header.name == name), None)


async def async_chunks(*chunks: bytes) -> AsyncIterator[bytes]:
    """Yield the given chunks as a body."""
    for chunk in chunks:
        yield chunk

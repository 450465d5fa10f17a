"""Header fields forwarded between callers and the backend server."""

from collections.abc import Iterable, Iterator

from multidict import CIMultiDict

from pomelotrail_companion.requests import Header, Request

from .const import (
    DEADLINE_HEADER,
    HOP_BY_HOP_HEADERS,
    OWN_ANSWER_HEADERS,
    OWN_REQUEST_HEADERS,
    REQUEST_ID_HEADER,
)

_COOKIE = "cookie"


def request_headers(
    request: Request, remaining_milliseconds: int | None
) -> CIMultiDict[str]:
    """Return the fields for the backend server, with request ID and deadline.

    Repeated fields stay repeated, except for cookie fields, which HTTP/1.1
    requires as a single field (RFC 9114, section 4.2.1).
    """
    fields = CIMultiDict[str]()
    cookies: list[str] = []
    for header in _end_to_end(request.headers, OWN_REQUEST_HEADERS):
        if header.name == _COOKIE:
            cookies.append(header.value)
        elif header.name != "content-length" or header.name not in fields:
            fields.add(header.name, header.value)
    if cookies:
        fields.add(_COOKIE, "; ".join(cookies))
    fields[REQUEST_ID_HEADER] = request.identifier
    if remaining_milliseconds is not None:
        fields[DEADLINE_HEADER] = str(remaining_milliseconds)
    return fields


def answer_headers(headers: Iterable[tuple[str, str]]) -> tuple[Header, ...]:
    """Return the fields of an answer that are forwarded to the caller."""
    received = tuple(Header(name.lower(), value) for name, value in headers)
    return tuple(_end_to_end(received, OWN_ANSWER_HEADERS))


def _end_to_end(headers: tuple[Header, ...], own: frozenset[str]) -> Iterator[Header]:
    """Yield the end-to-end fields that the system does not set itself."""
    named = {
        name.strip().lower()
        for header in headers
        if header.name == "connection"
        for name in header.value.split(",")
    }
    for header in headers:
        is_hop = header.name in HOP_BY_HOP_HEADERS or header.name in named
        if not is_hop and header.name not in own and not header.name.startswith(":"):
            yield header

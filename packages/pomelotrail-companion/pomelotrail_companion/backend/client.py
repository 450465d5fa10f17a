"""The HTTP/1.1 client towards the backend server."""

from collections.abc import AsyncIterator

import aiohttp

from pomelotrail_companion.requests import (
    Answer,
    Header,
    Outcome,
    Refusal,
    Request,
    RequestHandler,
    refuse,
)
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint

from .const import (
    CONNECT_TIMEOUT,
    DEADLINE_HEADER,
    HOP_HEADERS,
    PIECE_BYTES,
    REQUEST_ID_HEADER,
)


class BackendClient(RequestHandler):
    """The last step of a request: the backend server runs it."""

    def __init__(
        self, backend_server: Endpoint, session: aiohttp.ClientSession, clock: Clock
    ) -> None:
        """Send requests to the backend server at that address."""
        self._url = f"http://{backend_server}"
        self._session = session
        self._clock = clock

    async def async_handle(self, request: Request) -> Answer:
        """Send a request and return the answer as it arrives."""
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
        )
        try:
            response = await self._session.request(
                request.method,
                self._url + request.path,
                headers=self._headers(request),
                data=None if request.method in ("GET", "HEAD") else request.body,
                timeout=timeout,
            )
        except aiohttp.ClientConnectorError:
            return refuse(Refusal(RefusalKind.BACKEND_FAILED, Outcome.NOT_RUN))
        except (TimeoutError, aiohttp.ClientError):
            return refuse(Refusal(RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN))
        headers = tuple(
            Header(name.lower(), value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return Answer(response.status, headers, _async_body(response))

    def _headers(self, request: Request) -> list[tuple[str, str]]:
        """Return the headers for the backend server, deadline included."""
        headers = [
            (header.name, header.value)
            for header in request.headers
            if not header.name.startswith(":")
        ]
        headers.append((REQUEST_ID_HEADER, request.identifier))
        if request.deadline is not None:
            left = request.deadline - self._clock.monotonic()
            milliseconds = max(0, round(left.total_seconds() * 1000))
            headers.append((DEADLINE_HEADER, str(milliseconds)))
        return headers


async def _async_body(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body; closing early cancels the request at the backend server."""
    try:
        async for piece in response.content.iter_chunked(PIECE_BYTES):
            yield piece
    finally:
        response.close()

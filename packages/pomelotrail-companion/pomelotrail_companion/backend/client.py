"""HTTP/1.1 client for the backend server."""

from collections.abc import AsyncIterator
from datetime import timedelta

import aiohttp
from yarl import URL

from pomelotrail_companion.requests import (
    Answer,
    AnswerBroken,
    Header,
    Outcome,
    Refusal,
    Request,
    RequestHandler,
    refuse,
)
from pomelotrail_companion.requests.proof import prove_by_contact
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_companion.requests.time_limit import async_time_limit
from pomelotrail_core.clock import Clock
from pomelotrail_core.endpoint import Endpoint

from .const import (
    AUTOMATIC_HEADERS,
    CHUNK_BYTES,
    CONNECT_TIMEOUT,
    NO_BODY_STATUSES,
    REQUEST_ID_HEADER,
    RUN_ONCE_GRACE,
    SHED_HEADER,
    SHED_RETRY_AFTER,
    SHED_STATUS,
)
from .headers import answer_headers, request_headers

_ZERO = timedelta()


class _RequestBody:
    """The body sent to the backend server; stores the error that ended it."""

    def __init__(self, body: AsyncIterator[bytes]) -> None:
        """Initialize with the body to send."""
        self._body = body
        self.failure: Exception | None = None

    async def async_read(self) -> AsyncIterator[bytes]:
        """Yield the chunks."""
        try:
            async for chunk in self._body:
                yield chunk
        except Exception as error:
            self.failure = error
            raise


class BackendClient(RequestHandler):
    """The last handler of a request, which sends it to the backend server."""

    def __init__(
        self,
        backend_server: Endpoint,
        session: aiohttp.ClientSession,
        clock: Clock,
        run_once_session: aiohttp.ClientSession | None = None,
    ) -> None:
        """Initialize a client of the backend server at that address.

        The sessions come from ``open_backend_session``.
        """
        self._url = f"http://{backend_server}"
        self._session = session
        self._run_once_session = run_once_session or session
        self._clock = clock

    async def async_handle(self, request: Request) -> Answer:
        """Send a request and return the checked answer, whose body is streamed."""
        body = _RequestBody(request.body)
        try:
            async with async_time_limit(self._remaining_time(request), self._clock):
                response = await self._async_send(request, body)
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            if body.failure is not None:
                raise body.failure from error
            return _refuse_failed(request, type(error).__name__)
        return self._check_response(request, response)

    async def _async_send(
        self, request: Request, body: _RequestBody
    ) -> aiohttp.ClientResponse:
        """Send a request and return the response once its head has arrived."""
        is_run_once = request.request_class is not None and (
            request.request_class.run_once
        )
        session = self._run_once_session if is_run_once else self._session
        remaining_milliseconds = self._remaining_milliseconds(request)
        return await session.request(
            request.method,
            URL(self._url + request.path, encoded=True),
            headers=request_headers(request, remaining_milliseconds),
            skip_auto_headers=AUTOMATIC_HEADERS,
            data=None if request.method in ("GET", "HEAD") else body.async_read(),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=CONNECT_TIMEOUT.total_seconds()
            ),
            trace_request_ctx=request.contact,
        )

    def _check_response(
        self, request: Request, response: aiohttp.ClientResponse
    ) -> Answer:
        """Return the answer of a response, or a refusal if it is not valid."""
        if response.status == SHED_STATUS and SHED_HEADER in response.headers:
            reason = response.headers[SHED_HEADER]
            response.close()
            return _refuse_shed(request, reason)
        problem = _find_problem(request, response)
        if problem is not None:
            response.close()
            return _refuse_failed(request, problem)
        headers = answer_headers(response.headers.items())
        return Answer(response.status, headers, _async_body(response))

    def _remaining_milliseconds(self, request: Request) -> int | None:
        """Return the milliseconds until the deadline, for the backend server."""
        if request.deadline is None:
            return None
        remaining = request.deadline - self._clock.monotonic()
        return max(0, round(remaining.total_seconds() * 1000))

    def _remaining_time(self, request: Request) -> timedelta | None:
        """Return the timeout for the head of the answer.

        A run-once request gets additional time, because aborting it would leave
        its outcome permanently unknown.
        """
        if request.deadline is None:
            return None
        remaining = max(_ZERO, request.deadline - self._clock.monotonic())
        if request.request_class is not None and request.request_class.run_once:
            remaining += RUN_ONCE_GRACE
        return remaining


def _find_problem(request: Request, response: aiohttp.ClientResponse) -> str | None:
    """Return why a response is not a complete answer to a request, or None."""
    identities = response.headers.getall(REQUEST_ID_HEADER, [])
    if any(identity != request.identifier for identity in identities):
        return "the answer belongs to another request"
    if not identities and response.ok:
        return f"the answer has no {REQUEST_ID_HEADER} header that identifies it"
    if response.status in NO_BODY_STATUSES or request.method == "HEAD":
        return None
    is_chunked = "chunked" in response.headers.get("transfer-encoding", "").lower()
    if not is_chunked and response.content_length is None:
        return "the answer has neither a length nor chunks, so its end is unknown"
    return None


def _refuse_shed(request: Request, reason: str) -> Answer:
    """Return the refusal for the documented shed answer of a backend server."""
    request.contact.record_not_run()
    answer = refuse(
        Refusal(
            RefusalKind.SHED,
            Outcome.NOT_RUN,
            SHED_RETRY_AFTER,
            proof=prove_by_contact(request.contact),
        )
    )
    headers = (*answer.headers, Header(SHED_HEADER, reason))
    return Answer(answer.status, headers, answer.body, answer.refusal)


def _refuse_failed(request: Request, problem: str) -> Answer:
    """Return the refusal for a backend server without a complete answer."""
    proof = prove_by_contact(request.contact)
    outcome = Outcome.UNKNOWN if proof is None else Outcome.NOT_RUN
    return refuse(
        Refusal(RefusalKind.BACKEND_FAILED, outcome, detail=problem, proof=proof)
    )


async def _async_body(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the body; closing it early cancels the request at the server.

    A body that ends before its declared length raises ``AnswerBroken``.
    """
    try:
        async for chunk in response.content.iter_chunked(CHUNK_BYTES):
            yield chunk
    except (aiohttp.ClientError, OSError) as error:
        raise AnswerBroken(type(error).__name__) from error
    finally:
        response.close()

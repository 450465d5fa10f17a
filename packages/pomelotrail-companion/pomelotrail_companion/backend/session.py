"""Connections to the backend server that send each request at most once.

By default, ``aiohttp`` repeats a request after a lost connection (GET and, when
the body is unread, PUT and DELETE), follows redirects and shares cookies. All
of that is disabled between callers and a backend server.
"""

from types import SimpleNamespace
from typing import Any

import aiohttp

from pomelotrail_companion.requests.proof import BackendContact

from .errors import ConnectionBroken


def open_backend_session(*, is_reusing_connections: bool) -> aiohttp.ClientSession:
    """Return a session; run-once requests need connections that are not reused.

    The server may close a reused connection at the moment of use, and then it is
    unknown whether the request ran.
    """
    connector = aiohttp.TCPConnector(
        limit=0, force_close=not is_reusing_connections, use_dns_cache=False
    )
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        trace_configs=[_contact_trace()],
        middlewares=(_async_send_once,),
    )


async def _async_send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent the library from repeating a request after a lost connection."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBroken(str(error)) from error


def _contact_trace() -> aiohttp.TraceConfig:
    """Return a trace that records the contact once a connection is available."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_async_record_contact)
    trace.on_connection_reuseconn.append(_async_record_contact)
    return trace


async def _async_record_contact(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: Any
) -> None:
    """Record that the next byte is sent to the backend server."""
    contact: BackendContact = context.trace_request_ctx
    contact.begin()

"""Connections to the backend server that send each request at most once.

``aiohttp`` repeats a request by itself after a lost connection (GET and, when
the body is unread, PUT and DELETE), follows redirects and shares cookies. None
of that may happen between callers and a backend server.
"""

from types import SimpleNamespace
from typing import Any

import aiohttp

from pomelotrail_companion.requests.proof import BackendContact

from .errors import ConnectionBroken


def open_backend_session(*, is_reusing_connections: bool) -> aiohttp.ClientSession:
    """Return a session; run-once requests want connections of their own.

    A kept connection may be closed by the server in the moment of use, and
    then nobody knows whether the request ran.
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
    """Keep the library from repeating a request after a lost connection."""
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionBroken(str(error)) from error


def _contact_trace() -> aiohttp.TraceConfig:
    """Report to the request's contact when a connection is there to send on."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_async_begin)
    trace.on_connection_reuseconn.append(_async_begin)
    return trace


async def _async_begin(
    session: aiohttp.ClientSession, context: SimpleNamespace, parameters: Any
) -> None:
    """Record that the next byte goes to the backend server."""
    contact: BackendContact = context.trace_request_ctx
    contact.begin()

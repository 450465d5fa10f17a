"""Builders of backend servers with scripted answers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from datetime import timedelta
from typing import Any

import attrs

from harness.builders import request_class
from pomelotrail_companion.backend import BackendClient, open_backend_session
from pomelotrail_companion.requests import Answer, Header, Request
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.endpoint import Endpoint

LOOPBACK = "127.0.0.1"


@attrs.define
class ScriptedServer:
    """Answers each request with bytes, then closes; None means no answer."""

    respond: Callable[[str], bytes | None]
    received_heads: list[str] = attrs.Factory(list)

    async def async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Read one request with its body and answer it."""
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if "chunked" in head.lower():
                await reader.readuntil(b"0\r\n\r\n")
            self.received_heads.append(head)
            answer = self.respond(head)
            if answer is None:
                await reader.read()
            else:
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def async_start_client(server: ScriptedServer) -> AsyncIterator[BackendClient]:
    """Start a server and yield a client for it."""
    listener = await asyncio.start_server(server.async_serve, LOOPBACK, 0)
    port = listener.sockets[0].getsockname()[1]
    async with (
        listener,
        open_backend_session(is_reusing_connections=True) as reused,
        open_backend_session(is_reusing_connections=False) as fresh,
    ):
        yield BackendClient(Endpoint(LOOPBACK, port), reused, SystemClock(), fresh)


def request(method: str = "POST", **changes: Any) -> Request:
    """Return a request of the class for posting an entry."""
    fields = {
        "identifier": "flow-0",
        "flow": "flow",
        "method": method,
        "path": "/entries",
        "headers": (),
        "body": async_chunks(b"moult 3"),
        "request_class": request_class(
            method=method, path="/entries", run_once=method != "GET"
        ),
        **changes,
    }
    return Request(**fields)


def answer_bytes(*lines: str, body: str = "") -> bytes:
    """Return an HTTP/1.1 answer with the given head lines."""
    return ("\r\n".join(lines) + "\r\n\r\n" + body).encode()


def complete_answer(*lines: str) -> bytes:
    """Return a complete answer to the request of ``request``."""
    return answer_bytes(
        "HTTP/1.1 200 OK", "request-id: flow-0", "content-length: 2", *lines, body="ok"
    )


def fields(*pairs: tuple[str, str]) -> tuple[Header, ...]:
    """Return header fields."""
    return tuple(Header(name, value) for name, value in pairs)


async def async_read(answer: Answer) -> bytes:
    """Return the complete body of an answer."""
    return b"".join([chunk async for chunk in answer.body])


def deadline(clock: SystemClock, remaining: timedelta) -> timedelta:
    """Return the deadline that is ``remaining`` from now."""
    return clock.monotonic() + remaining

"""HTTP interface of a backend server."""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from stand_ins.backend_server.capacity import Capacity

SHED_HEADER = "request-shed"
CHUNK_BYTES = 65_536
BOARD_INTERVAL_SECONDS = 0.2


@attrs.define
class Behaviour:
    """Behaviour and faults of the server.

    ``shed`` refuses requests beyond the capacity; ``truncate`` and ``crossed`` are
    the shares of answers that are truncated or belong to another request;
    ``reported_load`` and ``reported_warm`` replace the actual values at the load
    and health endpoints.
    """

    work_seconds: float = 0.02
    shed: bool = False
    truncate: float = 0.0
    crossed: float = 0.0
    stall_seconds: float = 0.0
    reported_load: float | None = None
    reported_warm: bool | None = None


class BackendServer:
    """Runs requests and records each execution by its idempotency key."""

    def __init__(
        self, name: str, capacity: Capacity, behaviour: Behaviour, seed: int
    ) -> None:
        """Initialize with the given capacity and behaviour."""
        self._name = name
        self._capacity = capacity
        self._behaviour = behaviour
        self._rng = random.Random(seed)
        self.executions: list[dict[str, str]] = []
        self._cancelled = 0

    def application(self) -> web.Application:
        """Return the web application; the control interface is under ``/admin``."""
        application = web.Application(client_max_size=64_000_000)
        add = application.router.add_route
        add("POST", "/entries", self._with_slot(self._async_run_once))
        add("POST", "/certificates", self._with_slot(self._async_run_once))
        add("GET", "/board", self._async_board)
        add("GET", "/archive", self._with_slot(self._async_archive))
        add("POST", "/uploads", self._with_slot(self._async_upload))
        add("GET", "/readings", self._with_slot(self._async_reading))
        add("GET", "/health", self._async_health)
        add("GET", "/load", self._async_load)
        add("GET", "/admin/state", self._async_state)
        add("POST", "/admin/behaviour", self._async_set_behaviour)
        add("POST", "/admin/cold", self._async_reset_to_cold)
        return application

    def _with_slot(
        self, run: Callable[[web.Request], Awaitable[web.StreamResponse]]
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        """Return a handler that occupies a slot while it runs."""

        async def async_handle(request: web.Request) -> web.StreamResponse:
            """Run one request or shed it."""
            deadline = request.headers.get("request-deadline-ms")
            if deadline == "0":
                return web.Response(status=503, headers={SHED_HEADER: "deadline"})
            has_capacity = self._capacity.start()
            completed = False
            try:
                if not has_capacity and self._behaviour.shed:
                    return web.Response(status=503, headers={SHED_HEADER: "overload"})
                response = await run(request)
                completed = True
                return response
            except asyncio.CancelledError:
                self._cancelled += 1
                raise
            finally:
                self._capacity.end(completed)

        return async_handle

    async def _async_work(self) -> None:
        """Sleep for the current duration of a request."""
        seconds = self._behaviour.work_seconds * self._capacity.slowdown()
        await asyncio.sleep(seconds + self._behaviour.stall_seconds)

    async def _async_run_once(self, request: web.Request) -> web.StreamResponse:
        """Execute a request that must not run more than once."""
        body = await request.read()
        key = request.headers.get("idempotency-key", "")
        self.executions.append(
            {"key": key, "path": request.path, "body": body.decode(errors="replace")}
        )
        await self._async_work()
        identifier = request.headers.get("request-id", "")
        answer = {"server": self._name, "bytes": len(body), "key": key}
        return await self._async_answer(request, json.dumps(answer), identifier)

    async def _async_answer(
        self, request: web.Request, text: str, identifier: str
    ) -> web.StreamResponse:
        """Send a complete, truncated or crossed answer, as the behaviour sets."""
        if self._rng.random() < self._behaviour.crossed:
            identifier = "another-request"
        headers = {"request-id": identifier}
        if self._rng.random() >= self._behaviour.truncate:
            return web.Response(text=text, headers=headers)
        response = web.StreamResponse(headers=headers)
        response.content_length = len(text)
        await response.prepare(request)
        await response.write(text[: len(text) // 2].encode())
        if request.transport is not None:
            request.transport.close()
        return response

    async def _async_board(self, request: web.Request) -> web.StreamResponse:
        """Send the tank board line by line until the caller disconnects."""
        lines = int(request.query.get("lines", "0"))
        response = web.StreamResponse(
            headers={"request-id": request.headers.get("request-id", "")}
        )
        await response.prepare(request)
        number = 0
        while not lines or number < lines:
            number += 1
            await response.write(f"board line {number}\n".encode())
            await asyncio.sleep(BOARD_INTERVAL_SECONDS)
        return response

    async def _async_archive(self, request: web.Request) -> web.StreamResponse:
        """Send a large answer."""
        remaining = int(request.query.get("bytes", "1000000"))
        response = web.StreamResponse(
            headers={"request-id": request.headers.get("request-id", "")}
        )
        response.content_length = remaining
        await response.prepare(request)
        while remaining:
            chunk = min(remaining, CHUNK_BYTES)
            await response.write(b"x" * chunk)
            remaining -= chunk
        return response

    async def _async_upload(self, request: web.Request) -> web.StreamResponse:
        """Receive a large request."""
        size = 0
        async for chunk in request.content.iter_chunked(CHUNK_BYTES):
            size += len(chunk)
        await self._async_work()
        identifier = request.headers.get("request-id", "")
        return await self._async_answer(
            request, json.dumps({"server": self._name, "bytes": size}), identifier
        )

    async def _async_reading(self, request: web.Request) -> web.StreamResponse:
        """Send a small answer to an idempotent request."""
        await self._async_work()
        identifier = request.headers.get("request-id", "")
        return await self._async_answer(
            request, json.dumps({"server": self._name}), identifier
        )

    async def _async_health(self, request: web.Request) -> web.Response:
        """Report health, or the value that the behaviour sets."""
        reported = self._behaviour.reported_warm
        is_warm = self._capacity.is_warm if reported is None else reported
        return web.json_response({"warm": is_warm})

    async def _async_load(self, request: web.Request) -> web.Response:
        """Report load, or the value that the behaviour sets."""
        reported = self._behaviour.reported_load
        load = self._capacity.running / self._capacity.slots
        return web.json_response({"load": load if reported is None else reported})

    async def _async_state(self, request: web.Request) -> web.Response:
        """Return the actual state for tests."""
        state = {
            "executions": self.executions,
            "overruns": self._capacity.overruns,
            "running": self._capacity.running,
            "completed": self._capacity.completed,
            "cancelled": self._cancelled,
        }
        return web.json_response(state)

    async def _async_set_behaviour(self, request: web.Request) -> web.Response:
        """Replace fields of the behaviour."""
        for name, value in (await request.json()).items():
            setattr(self._behaviour, name, value)
        return web.Response()

    async def _async_reset_to_cold(self, request: web.Request) -> web.Response:
        """Reset the server to cold without a warning."""
        self._capacity.reset_to_cold()
        return web.Response()

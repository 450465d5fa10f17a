"""Tests of the HTTP/1.1 client for the backend server."""

import asyncio
import unittest
from datetime import timedelta

from pomelotrail_companion.backend.client import BackendClient
from pomelotrail_companion.backend.session import open_backend_session
from pomelotrail_companion.backend.tests.builders import (
    ScriptedServer,
    answer_bytes,
    async_read,
    async_start_client,
    complete_answer,
    deadline,
    fields,
    request,
)
from pomelotrail_companion.requests import (
    Answer,
    AnswerBroken,
    Outcome,
    Request,
)
from pomelotrail_companion.requests.refusals import RefusalKind
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.endpoint import Endpoint


class BackendClientTest(unittest.IsolatedAsyncioTestCase):
    """Only complete answers to the right request pass; nothing is sent twice."""

    async def _async_send_request(
        self, server: ScriptedServer, outgoing: Request
    ) -> Answer:
        """Send one request to a scripted server."""
        async with async_start_client(server) as client:
            return await client.async_handle(outgoing)

    def _assert_refused(
        self, answer: Answer, kind: RefusalKind, outcome: Outcome
    ) -> None:
        """Check that an answer is the given refusal."""
        assert answer.refusal is not None, answer
        self.assertIs(answer.refusal.kind, kind)
        self.assertIs(answer.refusal.outcome, outcome)

    async def test_a_complete_answer_passes(self) -> None:
        """The body arrives, and hop-by-hop fields are removed."""
        server = ScriptedServer(
            lambda head: complete_answer("connection: x-hop", "x-hop: 1", "x-end: 2")
        )
        async with async_start_client(server) as client:
            answer = await client.async_handle(request())
            self.assertEqual(await async_read(answer), b"ok")
        self.assertIsNone(answer.header("x-hop"))
        self.assertEqual(answer.header("x-end"), "2")

    async def test_request_headers_are_converted_to_http_1(self) -> None:
        """Cookies are joined, own and hop-by-hop fields dropped, others repeated."""
        server = ScriptedServer(lambda head: complete_answer())
        sent = fields(
            ("cookie", "a=1"),
            ("cookie", "b=2"),
            ("te", "trailers"),
            ("request-id", "forged"),
            ("request-deadline-ms", "99"),
            ("x-many", "1"),
            ("x-many", "2"),
        )
        await self._async_send_request(server, request(headers=sent))
        lines = server.received_heads[0].lower().splitlines()
        self.assertIn("cookie: a=1; b=2", lines)
        self.assertIn("x-many: 1", lines)
        self.assertIn("x-many: 2", lines)
        self.assertEqual(
            [x for x in lines if x.startswith("request-id")], ["request-id: flow-0"]
        )
        self.assertNotIn("te: trailers", lines)
        self.assertNotIn("request-deadline-ms: 99", lines)

    async def test_a_truncated_body_is_never_complete(self) -> None:
        """A body shorter than its length, or without its last chunk, raises."""
        head = ("HTTP/1.1 200 OK", "request-id: flow-0")
        for lines, body in (
            (("content-length: 10",), "half"),
            (("transfer-encoding: chunked",), "4\r\nhalf\r\n"),
        ):
            data = answer_bytes(*head, *lines, body=body)
            server = ScriptedServer(lambda _, data=data: data)
            async with async_start_client(server) as client:
                answer = await client.async_handle(request())
                with self.assertRaises(AnswerBroken):
                    await async_read(answer)

    async def test_an_answer_without_an_end_is_refused(self) -> None:
        """An answer delimited by its connection can't be verified as complete."""
        data = answer_bytes("HTTP/1.1 200 OK", "request-id: flow-0", body="half")
        answer = await self._async_send_request(
            ScriptedServer(lambda _: data), request()
        )
        self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)

    async def test_a_mismatched_answer_is_refused(self) -> None:
        """An answer to another or an unidentified request is not passed on."""
        for identity in ("request-id: flow-4", "x-nothing: 1"):
            data = answer_bytes(
                "HTTP/1.1 200 OK", identity, "content-length: 2", body="no"
            )
            server = ScriptedServer(lambda _, data=data: data)
            answer = await self._async_send_request(server, request())
            self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)

    async def test_the_shed_answer_counts_as_not_run(self) -> None:
        """The documented shed answer is a proof; a plain 503 is an answer."""
        shed = answer_bytes(
            "HTTP/1.1 503 Busy", "request-shed: overload", "content-length: 0"
        )
        answer = await self._async_send_request(
            ScriptedServer(lambda _: shed), request()
        )
        self._assert_refused(answer, RefusalKind.SHED, Outcome.NOT_RUN)
        assert answer.refusal is not None
        self.assertIsNotNone(answer.refusal.proof)
        bare = answer_bytes("HTTP/1.1 503 Busy", "content-length: 0")
        answer = await self._async_send_request(
            ScriptedServer(lambda _: bare), request()
        )
        self.assertIsNone(answer.refusal)

    async def test_a_closed_port_is_not_run(self) -> None:
        """Without a connection no byte was sent."""
        async with open_backend_session(is_reusing_connections=False) as session:
            client = BackendClient(Endpoint("127.0.0.1", 1), session, SystemClock())
            answer = await client.async_handle(request())
        self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.NOT_RUN)

    async def test_a_lost_connection_is_not_retried(self) -> None:
        """By default the library repeats GET, and PUT with an unread body."""
        for method in ("GET", "POST", "PUT", "DELETE"):
            server = ScriptedServer(lambda _: b"")
            answer = await self._async_send_request(server, request(method))
            self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)
            self.assertEqual(len(server.received_heads), 1, method)

    async def test_redirects_are_passed_to_the_caller(self) -> None:
        """A redirect is an answer; following it would send the request twice."""
        data = answer_bytes(
            "HTTP/1.1 307 Elsewhere",
            "request-id: flow-0",
            "location: /entries/2",
            "content-length: 0",
        )
        server = ScriptedServer(lambda _: data)
        answer = await self._async_send_request(server, request())
        self.assertEqual(answer.status, 307)
        self.assertEqual(len(server.received_heads), 1)

    async def test_the_deadline_ends_an_idempotent_request(self) -> None:
        """A server that misses the deadline gives no complete answer."""
        clock = SystemClock()
        async with async_start_client(ScriptedServer(lambda _: None)) as client:
            late = request("GET", deadline=deadline(clock, timedelta(milliseconds=500)))
            answer = await client.async_handle(late)
        self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)

    async def test_a_cancelled_request_is_cancelled_at_the_server(self) -> None:
        """The connection is closed, which the server treats as a cancellation."""
        arrived = asyncio.Event()
        ended = asyncio.Event()

        def never_answer(head: str) -> None:
            """Signal that the request has arrived, and never answer."""
            arrived.set()

        class Watcher(ScriptedServer):
            """Signals when the connection has ended."""

            async def async_serve(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                """Serve a request, then signal its end."""
                await super().async_serve(reader, writer)
                ended.set()

        server = Watcher(never_answer)
        async with async_start_client(server) as client:
            task = asyncio.create_task(client.async_handle(request()))
            await arrived.wait()
            task.cancel()
            await ended.wait()

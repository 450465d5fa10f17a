"""Tests of what is sent to a backend server and taken from it."""

import asyncio
import unittest
from datetime import timedelta

from pomelotrail_companion.backend.client import BackendClient
from pomelotrail_companion.backend.session import open_backend_session
from pomelotrail_companion.backend.tests.builders import (
    ScriptedServer,
    answer_bytes,
    async_client_of,
    async_read,
    deadline,
    fields,
    request,
    whole_answer,
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
    """Only whole answers to the right request pass; nothing is sent twice."""

    async def _async_ask(self, server: ScriptedServer, asked: Request) -> Answer:
        """Send one request to a scripted server."""
        async with async_client_of(server) as client:
            return await client.async_handle(asked)

    def _assert_refused(
        self, answer: Answer, kind: RefusalKind, outcome: Outcome
    ) -> None:
        """Check that an answer is this refusal."""
        assert answer.refusal is not None, answer
        self.assertIs(answer.refusal.kind, kind)
        self.assertIs(answer.refusal.outcome, outcome)

    async def test_a_whole_answer_passes(self) -> None:
        """The body arrives and nothing is added for hops."""
        server = ScriptedServer(
            lambda head: whole_answer("connection: x-hop", "x-hop: 1", "x-end: 2")
        )
        async with async_client_of(server) as client:
            answer = await client.async_handle(request())
            self.assertEqual(await async_read(answer), b"ok")
        self.assertIsNone(answer.header("x-hop"))
        self.assertEqual(answer.header("x-end"), "2")

    async def test_headers_of_callers_are_made_fit_for_http_1(self) -> None:
        """Cookies are joined, own and hop fields dropped, others repeated."""
        server = ScriptedServer(lambda head: whole_answer())
        sent = fields(
            ("cookie", "a=1"),
            ("cookie", "b=2"),
            ("te", "trailers"),
            ("request-id", "forged"),
            ("request-deadline-ms", "99"),
            ("x-many", "1"),
            ("x-many", "2"),
        )
        await self._async_ask(server, request(headers=sent))
        lines = server.seen[0].lower().splitlines()
        self.assertIn("cookie: a=1; b=2", lines)
        self.assertIn("x-many: 1", lines)
        self.assertIn("x-many: 2", lines)
        self.assertEqual(
            [x for x in lines if x.startswith("request-id")], ["request-id: flow-0"]
        )
        self.assertNotIn("te: trailers", lines)
        self.assertNotIn("request-deadline-ms: 99", lines)

    async def test_a_truncated_body_is_never_whole(self) -> None:
        """A body shorter than its length, or without its last chunk, raises."""
        head = ("HTTP/1.1 200 OK", "request-id: flow-0")
        for lines, body in (
            (("content-length: 10",), "half"),
            (("transfer-encoding: chunked",), "4\r\nhalf\r\n"),
        ):
            data = answer_bytes(*head, *lines, body=body)
            server = ScriptedServer(lambda _, data=data: data)
            async with async_client_of(server) as client:
                answer = await client.async_handle(request())
                with self.assertRaises(AnswerBroken):
                    await async_read(answer)

    async def test_an_answer_without_an_end_is_refused(self) -> None:
        """An answer that ends with its connection can't be seen to be whole."""
        data = answer_bytes("HTTP/1.1 200 OK", "request-id: flow-0", body="half")
        answer = await self._async_ask(ScriptedServer(lambda _: data), request())
        self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)

    async def test_a_crossed_answer_is_refused(self) -> None:
        """An answer to another request, or to nobody knows which, is not passed."""
        for identity in ("request-id: flow-4", "x-nothing: 1"):
            data = answer_bytes(
                "HTTP/1.1 200 OK", identity, "content-length: 2", body="no"
            )
            server = ScriptedServer(lambda _, data=data: data)
            answer = await self._async_ask(server, request())
            self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)

    async def test_the_shed_answer_counts_as_not_run(self) -> None:
        """The documented shed answer is a proof, a bare 503 is an answer."""
        shed = answer_bytes(
            "HTTP/1.1 503 Busy", "request-shed: overload", "content-length: 0"
        )
        answer = await self._async_ask(ScriptedServer(lambda _: shed), request())
        self._assert_refused(answer, RefusalKind.SHED, Outcome.NOT_RUN)
        assert answer.refusal is not None
        self.assertIsNotNone(answer.refusal.proof)
        bare = answer_bytes("HTTP/1.1 503 Busy", "content-length: 0")
        answer = await self._async_ask(ScriptedServer(lambda _: bare), request())
        self.assertIsNone(answer.refusal)

    async def test_a_closed_port_is_not_run(self) -> None:
        """Without a connection no byte was sent."""
        async with open_backend_session(is_reusing_connections=False) as session:
            client = BackendClient(Endpoint("127.0.0.1", 1), session, SystemClock())
            answer = await client.async_handle(request())
        self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.NOT_RUN)

    async def test_a_lost_connection_sends_nothing_again(self) -> None:
        """The library would repeat GET, and PUT with an unread body."""
        for method in ("GET", "POST", "PUT", "DELETE"):
            server = ScriptedServer(lambda _: b"")
            answer = await self._async_ask(server, request(method))
            self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)
            self.assertEqual(len(server.seen), 1, method)

    async def test_redirects_are_for_the_caller(self) -> None:
        """A redirect is an answer; following it would send the request again."""
        data = answer_bytes(
            "HTTP/1.1 307 Elsewhere",
            "request-id: flow-0",
            "location: /entries/2",
            "content-length: 0",
        )
        server = ScriptedServer(lambda _: data)
        answer = await self._async_ask(server, request())
        self.assertEqual(answer.status, 307)
        self.assertEqual(len(server.seen), 1)

    async def test_the_deadline_ends_an_idempotent_request(self) -> None:
        """A server that does not answer in time gave no whole answer."""
        clock = SystemClock()
        late = request("GET", deadline=deadline(clock, timedelta(milliseconds=50)))
        answer = await self._async_ask(ScriptedServer(lambda _: None), late)
        self._assert_refused(answer, RefusalKind.BACKEND_FAILED, Outcome.UNKNOWN)

    async def test_a_cancelled_request_is_cancelled_at_the_server(self) -> None:
        """The connection is closed, which the server takes as a cancellation."""
        seen = asyncio.Event()
        ended = asyncio.Event()

        def stay_silent(head: str) -> None:
            """Tell that the request has arrived, and never answer."""
            seen.set()

        class Watcher(ScriptedServer):
            """Tells when the connection has ended."""

            async def async_serve(
                self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                """Serve, then tell."""
                await super().async_serve(reader, writer)
                ended.set()

        server = Watcher(stay_silent)
        async with async_client_of(server) as client:
            task = asyncio.create_task(client.async_handle(request()))
            await seen.wait()
            task.cancel()
            await ended.wait()

"""Requests that run at most once, with real processes that are killed."""

import asyncio
import contextlib
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from harness.fleet import Fleet, PlannedCompanion
from harness.process import ROOT
from harness.specification import KESAR_TIDEWATER
from pomelotrail_core.routing import TokenKeys
from pomelotrail_core.tickets import TicketSealer
from stand_ins.caller import Caller, CallerAnswer, async_connect

_TICKET_HEADER = "idempotency-key"
_OUTCOME_HEADER = "request-outcome"
_SMALL_FLEET = attrs.evolve(
    KESAR_TIDEWATER,
    balancers=1,
    services=(attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=2),),
)


class RunOnceTest(unittest.IsolatedAsyncioTestCase):
    """One flow reaches the executor of a ticket, another one the other companion."""

    async def asyncSetUp(self) -> None:
        """Start a fleet and open a flow to each companion."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet(_SMALL_FLEET, Path(directory.name))
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()
        key = bytes.fromhex(self.fleet._token_key)
        self.sealer = TicketSealer(TokenKeys(0, {0: key}))
        self.exit_stack = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.exit_stack.aclose)
        self.session = await self.exit_stack.enter_async_context(
            aiohttp.ClientSession()
        )
        self.flows: dict[str, Caller] = {}
        while len(self.flows) < 2:
            await self._async_open_flow()
        self.executor, self.other = self.fleet.companions
        answer = await self._async_post(self.executor, b"moult 3", None)
        self.ticket = answer.headers[_TICKET_HEADER]

    async def _async_open_flow(self) -> None:
        """Open a flow and record which companion has it."""
        address = self.fleet.service_addresses["stock-ledger"]
        flow = await self.exit_stack.enter_async_context(
            async_connect(address.host, address.port)
        )
        answer = await flow.async_request("POST", "/entries", b"x")
        self.assertEqual(answer.status, 428)
        self.assertEqual(answer.headers[_OUTCOME_HEADER], "not-run")
        ticket = self.sealer.open(answer.headers[_TICKET_HEADER]).unwrap()
        name = next(
            companion.name
            for companion in self.fleet.companions
            if companion.control == ticket.executor
        )
        self.flows.setdefault(name, flow)

    async def _async_post(
        self, companion: PlannedCompanion, body: bytes, ticket: str | None
    ) -> CallerAnswer:
        """Post an entry on the flow to a companion."""
        headers = {} if ticket is None else {_TICKET_HEADER: ticket}
        flow = self.flows[companion.name]
        return await flow.async_request("POST", "/entries", body, headers)

    async def _async_count_executions(self) -> int:
        """Return how often the entry ran, over all backend servers."""
        count = 0
        for companion in self.fleet.companions:
            state = await self._async_state(companion)
            count += sum(each["body"] == "moult 3" for each in state["executions"])
        return count

    async def _async_state(self, companion: PlannedCompanion) -> dict[str, Any]:
        """Return the state that a backend server reports."""
        url = f"http://{companion.backend_server}/admin/state"
        async with self.session.get(url) as response:
            return await response.json()

    async def _async_start_slow_request(self) -> None:
        """Send the entry to its executor; return while it runs."""
        url = f"http://{self.executor.backend_server}/admin/behaviour"
        await self.session.post(url, json={"work_seconds": 1.0})
        self.flows[self.executor.name].start_request(
            "POST", "/entries", b"moult 3", {_TICKET_HEADER: self.ticket}
        )
        await self._async_wait_running()

    async def _async_wait_running(self) -> None:
        """Return once the entry has reached a backend server."""
        for _ in range(500):
            if await self._async_count_executions():
                return
            await asyncio.sleep(0.02)
        self.fail("the entry did not reach a backend server within 500 polls")

    async def test_executor_killed_during_the_execution(self) -> None:
        """The outcome is unknown, finally so after the restart; nothing runs again."""
        await self._async_start_slow_request()
        process = self.fleet.processes[self.executor.name]
        await process.async_kill()
        answer = await self._async_post(self.other, b"moult 3", self.ticket)
        self.assertEqual(
            (answer.status, answer.headers[_OUTCOME_HEADER]), (503, "unknown")
        )
        self.assertIn("retry-after", answer.headers)
        await process.async_start()
        answer = await self._async_post(self.other, b"moult 3", self.ticket)
        self.assertEqual(
            (answer.status, answer.headers[_OUTCOME_HEADER]), (409, "unknown")
        )
        self.assertNotIn("retry-after", answer.headers)
        self.assertEqual(await self._async_count_executions(), 1)

    async def test_a_retry_elsewhere_gets_the_answer_of_the_running_request(
        self,
    ) -> None:
        """The caller loses its flow; the other companion queries the executor."""
        await self._async_start_slow_request()
        self.flows[self.executor.name].close()
        answer = await self._async_post(self.other, b"moult 3", self.ticket)
        self.assertEqual(answer.status, 200)
        self.assertIn(self.executor.name.encode(), answer.body)
        self.assertEqual(await self._async_count_executions(), 1)

    async def test_a_fenced_ticket_never_runs(self) -> None:
        """Once "not run" was answered elsewhere, the executor refuses the ticket."""
        answer = await self._async_post(self.other, b"moult 3", self.ticket)
        self.assertEqual(
            (answer.status, answer.headers[_OUTCOME_HEADER]), (428, "not-run")
        )
        new_ticket = answer.headers[_TICKET_HEADER]
        answer = await self._async_post(self.executor, b"moult 3", self.ticket)
        self.assertEqual(
            (answer.status, answer.headers[_OUTCOME_HEADER]), (428, "not-run")
        )
        answer = await self._async_post(self.other, b"moult 3", new_ticket)
        self.assertEqual(answer.status, 200)
        self.assertEqual(await self._async_count_executions(), 1)

    async def test_the_example_on_the_callers_page(self) -> None:
        """The program on the page posts an entry once, with a standard client."""
        page = (ROOT / "docs" / "operators" / "callers.md").read_text()
        program = page.partition("```python\n")[2].partition("```")[0]
        address = self.fleet.service_addresses["stock-ledger"]
        arguments = [address.host, str(address.port), "moult 3"]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", program, *arguments, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        self.assertEqual(process.returncode, 0)
        self.assertTrue(output.startswith(b"200 "), output)
        self.assertEqual(await self._async_count_executions(), 1)

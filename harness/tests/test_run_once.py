"""Requests that run once, with real processes that die on the way."""

import asyncio
import contextlib
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from harness.fleet import CompanionPlace, Fleet
from harness.process import ROOT
from harness.specification import KESAR_TIDEWATER
from pomelotrail_core.routing import TokenKeys
from pomelotrail_core.tickets import TicketSealer
from stand_ins.caller import Caller, CallerAnswer, async_connect

_TICKET = "idempotency-key"
_OUTCOME = "request-outcome"
_SMALL = attrs.evolve(
    KESAR_TIDEWATER,
    balancers=1,
    services=(attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=2),),
)


class RunOnceTest(unittest.IsolatedAsyncioTestCase):
    """One flow to the executor of a ticket, one to the other companion."""

    async def asyncSetUp(self) -> None:
        """Start a fleet and open a flow to each companion."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet(_SMALL, Path(directory.name))
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()
        key = bytes.fromhex(self.fleet._token_key)
        self.sealer = TicketSealer(TokenKeys(0, {0: key}))
        self.exits = contextlib.AsyncExitStack()
        self.addAsyncCleanup(self.exits.aclose)
        self.session = await self.exits.enter_async_context(aiohttp.ClientSession())
        self.flows: dict[str, Caller] = {}
        while len(self.flows) < 2:
            await self._async_open_flow()
        self.executor, self.other = self.fleet.companions
        answer = await self._async_post(self.executor, b"moult 3", None)
        self.ticket = answer.headers[_TICKET]

    async def _async_open_flow(self) -> None:
        """Open a flow and find out which companion has it."""
        address = self.fleet.service_addresses["stock-ledger"]
        flow = await self.exits.enter_async_context(
            async_connect(address.host, address.port)
        )
        answer = await flow.async_request("POST", "/entries", b"x")
        self.assertEqual(answer.status, 428)
        self.assertEqual(answer.headers[_OUTCOME], "not-run")
        ticket = self.sealer.open(answer.headers[_TICKET]).unwrap()
        name = next(
            place.name
            for place in self.fleet.companions
            if place.control == ticket.executor
        )
        self.flows.setdefault(name, flow)

    async def _async_post(
        self, place: CompanionPlace, body: bytes, ticket: str | None
    ) -> CallerAnswer:
        """Post an entry on the flow to a companion."""
        headers = {} if ticket is None else {_TICKET: ticket}
        flow = self.flows[place.name]
        return await flow.async_request("POST", "/entries", body, headers)

    async def _async_executions(self) -> int:
        """Return how often the entry ran at all backend servers."""
        count = 0
        for place in self.fleet.companions:
            state = await self._async_state(place)
            count += sum(each["body"] == "moult 3" for each in state["executions"])
        return count

    async def _async_state(self, place: CompanionPlace) -> dict[str, Any]:
        """Return what really happened at a backend server."""
        url = f"http://{place.backend_server}/admin/state"
        async with self.session.get(url) as response:
            return await response.json()

    async def _async_start_slow_request(self) -> None:
        """Send the entry to its executor, and return while it runs."""
        url = f"http://{self.executor.backend_server}/admin/behaviour"
        await self.session.post(url, json={"work_seconds": 1.0})
        self.flows[self.executor.name].start_request(
            "POST", "/entries", b"moult 3", {_TICKET: self.ticket}
        )
        await self._async_wait_running()

    async def _async_wait_running(self) -> None:
        """Return once the entry has reached a backend server."""
        for _ in range(500):
            if await self._async_executions():
                return
            await asyncio.sleep(0.02)
        self.fail("the entry did not reach a backend server within 500 looks")

    async def test_the_executor_dies_during_the_execution(self) -> None:
        """The outcome is unknown, at last finally; nothing runs again."""
        await self._async_start_slow_request()
        process = self.fleet.processes[self.executor.name]
        await process.async_kill()
        answer = await self._async_post(self.other, b"moult 3", self.ticket)
        self.assertEqual((answer.status, answer.headers[_OUTCOME]), (503, "unknown"))
        self.assertIn("retry-after", answer.headers)
        await process.async_start()
        answer = await self._async_post(self.other, b"moult 3", self.ticket)
        self.assertEqual((answer.status, answer.headers[_OUTCOME]), (409, "unknown"))
        self.assertNotIn("retry-after", answer.headers)
        self.assertEqual(await self._async_executions(), 1)

    async def test_a_retry_elsewhere_gets_the_answer_of_the_running_one(self) -> None:
        """The caller loses its flow; the other companion asks the executor."""
        await self._async_start_slow_request()
        self.flows[self.executor.name].close()
        answer = await self._async_post(self.other, b"moult 3", self.ticket)
        self.assertEqual(answer.status, 200)
        self.assertIn(self.executor.name.encode(), answer.body)
        self.assertEqual(await self._async_executions(), 1)

    async def test_a_fenced_ticket_never_runs(self) -> None:
        """The words "not run" elsewhere bar the ticket at its executor."""
        answer = await self._async_post(self.other, b"moult 3", self.ticket)
        self.assertEqual((answer.status, answer.headers[_OUTCOME]), (428, "not-run"))
        fresh = answer.headers[_TICKET]
        answer = await self._async_post(self.executor, b"moult 3", self.ticket)
        self.assertEqual((answer.status, answer.headers[_OUTCOME]), (428, "not-run"))
        answer = await self._async_post(self.other, b"moult 3", fresh)
        self.assertEqual(answer.status, 200)
        self.assertEqual(await self._async_executions(), 1)

    async def test_the_example_of_the_callers_page(self) -> None:
        """The program on the page posts an entry once, by a stock client."""
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
        self.assertEqual(await self._async_executions(), 1)

"""Every refusal during faults can be traced to its cause, with real processes."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import aiohttp
import attrs

from harness.fleet import Fleet
from harness.specification import KESAR_TIDEWATER
from pomelotrail_balancer.operators.explanation import Subject, explain_subject
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.timeline import EventKind, Timeline, merge
from pomelotrail_core.timeline.client import async_collect_events
from stand_ins.caller import CallerAnswer, async_connect

_BURST_REQUESTS = 100
_WARMUP_REQUESTS = 12
_AWAITED_REFUSALS = 10
_WORK_SECONDS = 0.2
# Longer than any timeout, so that no request of the burst can be served, however
# slowly the machine sends them.
_BLOCKED_SECONDS = 60.0
_SMALL_FLEET = attrs.evolve(
    KESAR_TIDEWATER,
    balancers=3,
    services=(attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=2),),
)


async def _async_wait_refused(answer: CallerAnswer) -> None:
    """Wait until a request has been refused."""
    await answer.async_wait_complete()
    if answer.status < 400:
        raise AssertionError(f"served with status {answer.status}")


class RefusalCausesTest(unittest.IsolatedAsyncioTestCase):
    """A balancer is killed, a zone is taken out, and backend servers become cold."""

    async def asyncSetUp(self) -> None:
        """Start a small fleet."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet(_SMALL_FLEET, Path(directory.name))
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()

    async def async_inject_faults(self) -> None:
        """Kill a balancer and take a zone out."""
        killed = self.fleet.balancers[0].name
        await self.fleet.processes[killed].async_kill()
        remaining = [balancer.name for balancer in self.fleet.balancers[1:]]
        await self.fleet.async_set_members(remaining)
        self.fleet.document["zones"][0]["out"] = True
        await self.fleet.async_publish()
        await self.async_wait_zone_out()

    async def async_post_to_servers(self, path: str, **behaviour: object) -> None:
        """Post to an admin path of every backend server."""
        async with aiohttp.ClientSession() as session:
            for companion in self.fleet.companions:
                url = f"http://{companion.backend_server}/admin/{path}"
                await session.post(url, json=behaviour)

    async def async_collect_timeline(self) -> Timeline:
        """Return the merged timeline of the processes that answer."""
        answers = await async_collect_events(
            self.fleet.control_addresses, SystemClock()
        )
        return merge(answer.ok_value for answer in answers if answer.is_ok())

    async def async_wait_zone_out(self) -> None:
        """Wait until every live process has recorded that the zone is out."""
        zone = self.fleet.specification.zones[0]
        live = [balancer.name for balancer in self.fleet.balancers[1:]]
        live += [
            companion.name
            for companion in self.fleet.companions
            if companion.zone == zone
        ]
        while True:
            timeline = await self.async_collect_timeline()
            reporting = {
                entry.event.process
                for entry in timeline.entries
                if entry.event.kind is EventKind.ZONE_OUT
            }
            if reporting >= set(live):
                return
            await asyncio.sleep(0.05)

    async def test_every_refusal_has_its_cause(self) -> None:
        """Each refusal leads to the cause of the limit and on to its first cause."""
        await self.async_inject_faults()
        address = self.fleet.service_addresses["stock-ledger"]
        await self.async_post_to_servers(
            "behaviour", work_seconds=_WORK_SECONDS, shed=True
        )
        async with async_connect(address.host, address.port) as caller:
            for _ in range(_WARMUP_REQUESTS):
                await caller.async_request("POST", "/uploads", b"x")
            work_seconds = _BLOCKED_SECONDS
            await self.async_post_to_servers(
                "behaviour", work_seconds=work_seconds, shed=True
            )
            await self.async_post_to_servers("cold")
            answers = [
                caller.start_request("POST", "/uploads", b"x")
                for _ in range(_BURST_REQUESTS)
            ]
            await asyncio.gather(
                *(
                    _async_wait_refused(answer)
                    for answer in answers[-_AWAITED_REFUSALS:]
                )
            )
            timeline = await self.async_collect_timeline()
        self.check_explanations(timeline)

    def check_explanations(self, timeline: Timeline) -> None:
        """Check that each refusal leads back to the cold backend server."""
        refused = [
            entry
            for entry in timeline.entries
            if entry.event.kind is EventKind.REQUEST_REFUSED
        ]
        self.assertGreaterEqual(len(refused), _AWAITED_REFUSALS)
        for entry in refused:
            causes = [cause.event.kind for cause in timeline.causes(entry)]
            subject = Subject(entry.event.request, is_request=True)
            explanation = "\n".join(explain_subject(timeline, subject))
            self.assertIn(EventKind.BACKEND_SERVER_COLD, causes, explanation)
            self.assertIn("found its backend server cold", explanation)
            self.assertIn("End: request refused", explanation)

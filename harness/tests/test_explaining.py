"""Every refusal of a run with faults can be traced to its cause."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import aiohttp
import attrs

from harness.fleet import Fleet
from harness.specification import KESAR_TIDEWATER
from pomelotrail_balancer.operators.story import Subject, tell
from pomelotrail_core.clock import SystemClock
from pomelotrail_core.timeline import EventKind, Timeline, merge
from pomelotrail_core.timeline.client import async_collect_events
from stand_ins.caller import CallerAnswer, async_connect

_REQUESTS = 100
_WARMING = 12
_REFUSED = 10
_WORK_SECONDS = 0.2
# Longer than any timeout: no request of the burst can be served, however slowly
# the machine sends them.
_HELD_SECONDS = 60.0
_SMALL = attrs.evolve(
    KESAR_TIDEWATER,
    balancers=3,
    services=(attrs.evolve(KESAR_TIDEWATER.services[0], endpoints=2),),
)


async def _async_refused(answer: CallerAnswer) -> None:
    """Wait until a request has been refused."""
    await answer.async_wait_complete()
    if answer.status < 400:
        raise AssertionError(f"served with status {answer.status}")


class ExplainingTest(unittest.IsolatedAsyncioTestCase):
    """A balancer dies, a zone goes out, and a backend server turns cold."""

    async def asyncSetUp(self) -> None:
        """Start a small fleet."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.fleet = Fleet(_SMALL, Path(directory.name))
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start()

    async def async_break_things(self) -> None:
        """Let a balancer die and take a zone out."""
        gone = self.fleet.balancers[0].name
        await self.fleet.processes[gone].async_kill()
        rest = [place.name for place in self.fleet.balancers[1:]]
        await self.fleet.async_set_members(rest)
        self.fleet.document["zones"][0]["out"] = True
        await self.fleet.async_publish()
        await self.async_wait_zone_out()

    async def async_order(self, path: str, **behaviour: object) -> None:
        """Give an order to every backend server."""
        async with aiohttp.ClientSession() as session:
            for place in self.fleet.companions:
                url = f"http://{place.backend_server}/admin/{path}"
                await session.post(url, json=behaviour)

    async def async_gather(self) -> Timeline:
        """Return the time line of the processes that answer."""
        answers = await async_collect_events(
            self.fleet.control_addresses, SystemClock()
        )
        return merge(answer.ok_value for answer in answers if answer.is_ok())

    async def async_wait_zone_out(self) -> None:
        """Wait until every live process has the order in force."""
        zone = self.fleet.specification.zones[0]
        live = [place.name for place in self.fleet.balancers[1:]]
        live += [p.name for p in self.fleet.companions if p.zone == zone]
        while True:
            timeline = await self.async_gather()
            told = {
                entry.event.process
                for entry in timeline.entries
                if entry.event.kind is EventKind.ZONE_OUT
            }
            if told >= set(live):
                return
            await asyncio.sleep(0.05)

    async def test_every_refusal_has_its_cause(self) -> None:
        """Each refusal names what set the limit, up to its first cause."""
        await self.async_break_things()
        address = self.fleet.service_addresses["stock-ledger"]
        await self.async_order("behaviour", work_seconds=_WORK_SECONDS, shed=True)
        async with async_connect(address.host, address.port) as caller:
            for _ in range(_WARMING):
                await caller.async_request("POST", "/uploads", b"x")
            held = _HELD_SECONDS
            await self.async_order("behaviour", work_seconds=held, shed=True)
            await self.async_order("cold")
            answers = [
                caller.start_request("POST", "/uploads", b"x") for _ in range(_REQUESTS)
            ]
            await asyncio.gather(
                *(_async_refused(answer) for answer in answers[-_REFUSED:])
            )
            timeline = await self.async_gather()
        self.check_stories(timeline)

    def check_stories(self, timeline: Timeline) -> None:
        """Check that each refusal leads back to the cold backend server."""
        refused = [
            entry
            for entry in timeline.entries
            if entry.event.kind is EventKind.REQUEST_REFUSED
        ]
        self.assertGreaterEqual(len(refused), _REFUSED)
        for entry in refused:
            causes = [cause.event.kind for cause in timeline.causes(entry)]
            subject = Subject(entry.event.request, is_request=True)
            story = "\n".join(tell(timeline, subject))
            self.assertIn(EventKind.BACKEND_SERVER_COLD, causes, story)
            self.assertIn("found its backend server cold", story)
            self.assertIn("End: request refused", story)

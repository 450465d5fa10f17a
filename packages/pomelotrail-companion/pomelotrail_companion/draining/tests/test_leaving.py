"""Tests of new requests on existing flows of a leaving companion."""

import unittest

from harness.builders import backend_server, configuration
from harness.fake_clock import FakeClock
from pomelotrail_companion.draining import DrainingState
from pomelotrail_companion.draining.leaving import LeavingStep, RefusingRelay
from pomelotrail_companion.requests import (
    Answer,
    Outcome,
    Request,
    RequestHandler,
    RequestRelay,
)
from pomelotrail_companion.requests.messages import async_chunks
from pomelotrail_core.timeline import Recorder


class _FakeHandler(RequestHandler):
    """Handler that counts the requests to its own backend server."""

    count = 0

    async def async_handle(self, request: Request) -> Answer:
        """Answer one request."""
        self.count += 1
        return Answer(200, (), async_chunks(b"here"))


class _FakeRelay(RequestRelay):
    """Relay that counts the requests to another companion."""

    count = 0

    async def async_relay(self, request: Request) -> Answer:
        """Answer one request."""
        self.count += 1
        return Answer(200, (), async_chunks(b"there"))


def _request() -> Request:
    """Return a request of an existing flow."""
    return Request("r-1", "flow", "GET", "/board", (), async_chunks())


class LeavingStepTest(unittest.IsolatedAsyncioTestCase):
    """A leaving backend server gets no new requests."""

    def setUp(self) -> None:
        """Create a serving companion."""
        recorder = Recorder("ledger-1", "porbandar", FakeClock())
        self.state = DrainingState("ledger-1", "veraval", recorder)
        self.state.configure(configuration(servers=(backend_server(1),)))
        self.local, self.relay = _FakeHandler(), _FakeRelay()
        self.step = LeavingStep(self.is_leaving, self.relay, recorder, self.local)
        self.refusing = LeavingStep(
            self.is_leaving, RefusingRelay(), recorder, self.local
        )

    def is_leaving(self) -> bool:
        """Return whether the drain order is in force."""
        return not self.state.accepts_new_flows

    def order_out(self) -> None:
        """Publish a version that takes the backend server out."""
        servers = (backend_server(1, is_out=True),)
        self.state.configure(configuration(2, servers=servers))

    async def test_serving_runs_here(self) -> None:
        """No request is relayed before the drain order."""
        await self.step.async_handle(_request())
        self.assertEqual((self.local.count, self.relay.count), (1, 0))

    async def test_leaving_relays(self) -> None:
        """After the drain order another companion runs new requests."""
        self.order_out()
        answer = await self.step.async_handle(_request())
        self.assertEqual(answer.status, 200)
        self.assertEqual((self.local.count, self.relay.count), (0, 1))

    async def test_refusal_without_a_relay_has_outcome_not_run(self) -> None:
        """The refusal has the outcome not run, and the server gets no request."""
        self.order_out()
        answer = await self.refusing.async_handle(_request())
        self.assertEqual(self.local.count, 0)
        assert answer.refusal is not None
        self.assertIs(answer.refusal.outcome, Outcome.NOT_RUN)

    async def test_back_in_service(self) -> None:
        """A later version can revoke the drain order."""
        self.order_out()
        self.state.configure(configuration(3, servers=(backend_server(1),)))
        await self.step.async_handle(_request())
        self.assertEqual(self.local.count, 1)

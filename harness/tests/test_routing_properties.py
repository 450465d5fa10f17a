"""Properties of routing under changes, losses and uneven updates together."""

import unittest
from collections.abc import Callable
from typing import Final

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from harness.builders import backend_server
from harness.routing_bench import ZONES, BenchFlow, RoutingBench
from pomelotrail_companion.edge.tests.builders import short

_SERVERS: Final = 7
_BALANCERS: Final = 3
_OTHER_SERVICE: Final = 2
_EXAMPLES: Final = 60

_CHANGES = st.sampled_from(
    ["leave", "return", "join", "zone", "kill", "add", "full", "open", "catch up"]
)
_STEPS = st.lists(
    st.tuples(
        _CHANGES,
        st.integers(0, _SERVERS - 1),
        st.frozensets(st.integers(0, _BALANCERS - 1)),
        st.lists(st.integers(0, 9), min_size=1, max_size=3),
    ),
    min_size=1,
    max_size=14,
)


class _Story:
    """A bench that goes through changes, and the flows opened on the way."""

    def __init__(self) -> None:
        """Start with a flow for each of a few callers."""
        servers = [
            backend_server(number, zone=ZONES[number % 3])
            for number in range(1, _SERVERS + 1)
        ]
        self.bench = RoutingBench(servers, _BALANCERS)
        self.flows: list[BenchFlow] = []
        self._next = 0
        for way in range(4):
            self.open([way])

    def open(self, ways: list[int]) -> BenchFlow | None:
        """Open a flow with copies of its first packet."""
        self._next += 1
        flow = self.bench.open_flow(self._next.to_bytes(8, "big"), ways)
        if flow is not None:
            self.flows.append(flow)
        return flow

    def step(
        self, change: str, index: int, unreached: frozenset[int], ways: list[int]
    ) -> None:
        """Make one change, which some balancers miss."""
        names = sorted(self.bench.servers)
        changes: dict[str, Callable[[], None]] = {
            "leave": lambda: self.mark(names[index], True),
            "return": lambda: self.mark(names[index], False),
            "join": self.join,
            "zone": lambda: self.toggle_zone(ZONES[index % 3]),
            "kill": lambda: self.kill(index),
            "add": self.bench.join_balancer,
            "full": lambda: self.toggle_room(index),
            "open": lambda: self.open(ways) and None,
            "catch up": self.bench.catch_up,
        }
        changes[change]()
        if change in ("leave", "return", "join", "zone"):
            self.bench.publish(unreached)

    def mark(self, name: str, is_out: bool) -> None:
        """Take a backend server out of service or back."""
        server = self.bench.servers[name]
        self.bench.servers[name] = attrs.evolve(server, is_out=is_out)

    def join(self) -> None:
        """Add a backend server."""
        number = len(self.bench.servers) + 1
        server = backend_server(number, zone=ZONES[number % 3])
        self.bench.servers[server.name] = server

    def toggle_zone(self, zone: str) -> None:
        """Take a zone out or back; its flows are given up."""
        self.bench.zones_out ^= {zone}
        if zone in self.bench.zones_out:
            self.flows = [
                flow for flow in self.flows if self.bench.zone_of(flow) != zone
            ]

    def kill(self, index: int) -> None:
        """Kill a balancer, unless it is the last."""
        if len(self.bench.balancers) > 1:
            del self.bench.balancers[index % len(self.bench.balancers)]

    def toggle_room(self, index: int) -> None:
        """Let a companion fill up or have room again."""
        companions = list(self.bench.companions.values())
        room = companions[index % len(companions)].room
        room.is_open = not room.is_open


class RoutingPropertiesTest(unittest.TestCase):
    """What must always hold, whatever happens together or twice."""

    @settings(max_examples=_EXAMPLES)
    @given(_STEPS)
    def test_established_flows_survive(self, steps: list) -> None:
        """Each flow reaches its owner through every balancer after each change."""
        story = _Story()
        for step in steps:
            story.step(*step)
            for flow in story.flows:
                for way in range(len(story.bench.balancers)):
                    self.assertTrue(story.bench.survives(flow, way), step)

    @settings(max_examples=_EXAMPLES)
    @given(_STEPS)
    def test_never_another_service(self, steps: list) -> None:
        """A packet that is replayed to another service reaches nobody."""
        story = _Story()
        for step in steps:
            story.step(*step)
            before = dict(story.bench.received)
            for flow in story.flows:
                for balancer in story.bench.balancers:
                    packet = short(flow.connection_id)
                    self.assertIsNone(balancer.forward(_OTHER_SERVICE, packet))
            self.assertEqual(story.bench.received, before)

    @settings(max_examples=_EXAMPLES)
    @given(_STEPS)
    def test_zone_out_gets_nothing(self, steps: list) -> None:
        """Companions take nothing there; once all know, nothing even arrives."""
        story = _Story()
        given_up: list[BenchFlow] = []
        for step in steps:
            held = list(story.flows)
            story.step(*step)
            given_up += [flow for flow in held if flow not in story.flows]
            self._check_nothing_taken(story, given_up)
            story.bench.catch_up()
            self._check_nothing_arrives(story, given_up)

    def _packets(self, story: _Story, given_up: list[BenchFlow]) -> None:
        """Send packets of given-up and of new flows over every balancer."""
        for way in range(len(story.bench.balancers)):
            for flow in given_up:
                story.bench.send(way, short(flow.connection_id))
            story.open([way])

    def _out(self, story: _Story) -> list[bytes]:
        """Return the companions in zones that are out."""
        return [
            packed
            for packed, companion in story.bench.companions.items()
            if companion.zone in story.bench.zones_out
        ]

    def _check_nothing_taken(self, story: _Story, given_up: list[BenchFlow]) -> None:
        """Check that no companion that is out takes a packet."""
        companions = story.bench.companions
        before = {out: len(companions[out].edge.taken) for out in self._out(story)}
        self._packets(story, given_up)
        for out, count in before.items():
            self.assertEqual(len(companions[out].edge.taken), count)

    def _check_nothing_arrives(self, story: _Story, given_up: list[BenchFlow]) -> None:
        """Check that no packet arrives in a zone that every balancer knows is out."""
        received = story.bench.received
        before = {out: received.get(out, 0) for out in self._out(story)}
        self._packets(story, given_up)
        for out, count in before.items():
            self.assertEqual(received.get(out, 0), count)

    @settings(max_examples=_EXAMPLES)
    @given(_STEPS)
    def test_leaving_server_gets_no_new_flow(self, steps: list) -> None:
        """Whatever roster a balancer has, the flow opens elsewhere."""
        story = _Story()
        for step in steps:
            story.step(*step)
            leaving = {
                server.packets.pack()
                for server in story.bench.servers.values()
                if server.is_out
            }
            for way in range(len(story.bench.balancers)):
                flow = story.open([way])
                if flow is not None:
                    self.assertNotIn(flow.owner, leaving)

"""Properties of routing under combined changes, losses and partial updates."""

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


class _Scenario:
    """A bench to which changes are applied, and the flows opened in between."""

    def __init__(self) -> None:
        """Open a few flows."""
        servers = [
            backend_server(number, zone=ZONES[number % 3])
            for number in range(1, _SERVERS + 1)
        ]
        self.bench = RoutingBench(servers, _BALANCERS)
        self.flows: list[BenchFlow] = []
        self._flow_count = 0
        for balancer_index in range(4):
            self.open([balancer_index])

    def open(self, balancer_indexes: list[int]) -> BenchFlow | None:
        """Open a flow with a copy of its opening packet through each balancer named."""
        self._flow_count += 1
        flow = self.bench.open_flow(
            self._flow_count.to_bytes(8, "big"), balancer_indexes
        )
        if flow is not None:
            self.flows.append(flow)
        return flow

    def step(
        self,
        change: str,
        index: int,
        unreached: frozenset[int],
        balancer_indexes: list[int],
    ) -> None:
        """Make one change; its configuration doesn't reach ``unreached`` balancers."""
        names = sorted(self.bench.servers)
        changes: dict[str, Callable[[], None]] = {
            "leave": lambda: self.mark(names[index], True),
            "return": lambda: self.mark(names[index], False),
            "join": self.join,
            "zone": lambda: self.toggle_zone(ZONES[index % 3]),
            "kill": lambda: self.kill(index),
            "add": self.bench.add_balancer,
            "full": lambda: self.toggle_capacity(index),
            "open": lambda: self.open(balancer_indexes) and None,
            "catch up": self.bench.update_balancers,
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
        """Take a zone out of or back into service; its flows are abandoned."""
        self.bench.zones_out ^= {zone}
        if zone in self.bench.zones_out:
            self.flows = [
                flow for flow in self.flows if self.bench.zone_of(flow) != zone
            ]

    def kill(self, index: int) -> None:
        """Kill a balancer, unless it is the last."""
        if len(self.bench.balancers) > 1:
            del self.bench.balancers[index % len(self.bench.balancers)]

    def toggle_capacity(self, index: int) -> None:
        """Let a companion refuse or accept new flows."""
        companions = list(self.bench.companions.values())
        admission = companions[index % len(companions)].admission
        admission.accepts_flows = not admission.accepts_flows


class RoutingPropertiesTest(unittest.TestCase):
    """Invariants under any sequence of changes."""

    @settings(max_examples=_EXAMPLES)
    @given(_STEPS)
    def test_established_flows_survive(self, steps: list) -> None:
        """Each flow reaches its owner through every balancer after each change."""
        scenario = _Scenario()
        for step in steps:
            scenario.step(*step)
            for flow in scenario.flows:
                for balancer_index in range(len(scenario.bench.balancers)):
                    self.assertTrue(
                        scenario.bench.reaches_owner(flow, balancer_index), step
                    )

    @settings(max_examples=_EXAMPLES)
    @given(_STEPS)
    def test_packets_never_reach_another_service(self, steps: list) -> None:
        """A packet that is replayed to another service is dropped."""
        scenario = _Scenario()
        for step in steps:
            scenario.step(*step)
            before = dict(scenario.bench.received)
            for flow in scenario.flows:
                for balancer in scenario.bench.balancers:
                    packet = short(flow.connection_id)
                    self.assertIsNone(balancer.forward(_OTHER_SERVICE, packet))
            self.assertEqual(scenario.bench.received, before)

    @settings(max_examples=_EXAMPLES)
    @given(_STEPS)
    def test_zone_out_gets_no_packets(self, steps: list) -> None:
        """Companions there accept no packet; none arrives once all balancers update."""
        scenario = _Scenario()
        abandoned: list[BenchFlow] = []
        for step in steps:
            flows_before = list(scenario.flows)
            scenario.step(*step)
            abandoned += [flow for flow in flows_before if flow not in scenario.flows]
            self._check_no_packet_accepted(scenario, abandoned)
            scenario.bench.update_balancers()
            self._check_no_packet_arrives(scenario, abandoned)

    def _send_packets(self, scenario: _Scenario, abandoned: list[BenchFlow]) -> None:
        """Send packets of abandoned and of new flows through every balancer."""
        for balancer_index in range(len(scenario.bench.balancers)):
            for flow in abandoned:
                scenario.bench.send(balancer_index, short(flow.connection_id))
            scenario.open([balancer_index])

    def _companions_out(self, scenario: _Scenario) -> list[bytes]:
        """Return the companions in zones that are out."""
        return [
            packed
            for packed, companion in scenario.bench.companions.items()
            if companion.zone in scenario.bench.zones_out
        ]

    def _check_no_packet_accepted(
        self, scenario: _Scenario, abandoned: list[BenchFlow]
    ) -> None:
        """Check that no companion in a zone that is out accepts a packet."""
        companions = scenario.bench.companions
        before = {
            out: len(companions[out].edge.handled_packets)
            for out in self._companions_out(scenario)
        }
        self._send_packets(scenario, abandoned)
        for out, count in before.items():
            self.assertEqual(len(companions[out].edge.handled_packets), count)

    def _check_no_packet_arrives(
        self, scenario: _Scenario, abandoned: list[BenchFlow]
    ) -> None:
        """Check that no packet arrives in a zone that is out in every configuration."""
        received = scenario.bench.received
        before = {out: received.get(out, 0) for out in self._companions_out(scenario)}
        self._send_packets(scenario, abandoned)
        for out, count in before.items():
            self.assertEqual(received.get(out, 0), count)

    @settings(max_examples=_EXAMPLES)
    @given(_STEPS)
    def test_leaving_server_gets_no_new_flow(self, steps: list) -> None:
        """New flows open elsewhere, also through balancers with an outdated roster."""
        scenario = _Scenario()
        for step in steps:
            scenario.step(*step)
            leaving = {
                server.packets.pack()
                for server in scenario.bench.servers.values()
                if server.is_out
            }
            for balancer_index in range(len(scenario.bench.balancers)):
                flow = scenario.open([balancer_index])
                if flow is not None:
                    self.assertNotIn(flow.owner, leaving)

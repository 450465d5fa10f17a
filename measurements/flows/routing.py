"""Flows through the real routing code, compared with hashing alone."""

import random
from typing import Final

import attrs

from harness.builders import LEDGER_NUMBER, backend_server
from harness.routing_bench import ZONES, BenchFlow, RoutingBench, pick_balancers
from pomelotrail_core.routing import RendezvousRanking

SERVERS: Final = 9
BALANCERS: Final = 4
CHANGES: Final = 60
_MISSED_UPDATE_PROBABILITY: Final = 0.3
_DUPLICATE_PROBABILITY: Final = 0.1


@attrs.define
class RoutingFigures:
    """Figures of the flows routed in memory."""

    flows: int = 0
    broken_flows: int = 0
    baseline_broken_flows: int = 0
    changes: int = 0


@attrs.define
class _TrackedFlow:
    """A flow, and the owner that hashing alone would have chosen."""

    flow: BenchFlow
    baseline_owner: bytes
    is_broken: bool = False
    is_baseline_broken: bool = False


def measure_routing(seed: int, flows: int) -> RoutingFigures:
    """Open flows between changes, and send a packet of each after every change."""
    rng = random.Random(seed)
    servers = [
        backend_server(number, zone=ZONES[number % 3])
        for number in range(1, SERVERS + 1)
    ]
    bench = RoutingBench(servers, BALANCERS)
    tracked_flows: list[_TrackedFlow] = []
    for number in range(CHANGES):
        _open_flows(bench, tracked_flows, rng, flows // CHANGES)
        _apply_random_change(bench, rng, number)
        for each in tracked_flows:
            _send_packet(bench, each, rng)
    return RoutingFigures(
        flows=len(tracked_flows),
        broken_flows=sum(each.is_broken for each in tracked_flows),
        baseline_broken_flows=sum(each.is_baseline_broken for each in tracked_flows),
        changes=CHANGES,
    )


def _open_flows(
    bench: RoutingBench,
    tracked_flows: list[_TrackedFlow],
    rng: random.Random,
    count: int,
) -> None:
    """Open flows, some with a retransmitted opening packet."""
    for _ in range(count):
        opening_id = rng.randbytes(8)
        packet_count = 2 if rng.random() < _DUPLICATE_PROBABILITY else 1
        balancer_indexes = pick_balancers(rng, len(bench.balancers), packet_count)
        flow = bench.open_flow(opening_id, balancer_indexes)
        if flow is not None:
            owner = _hashed_owner(bench, opening_id, balancer_indexes[0])
            tracked_flows.append(_TrackedFlow(flow, owner))


def _send_packet(
    bench: RoutingBench, tracked_flow: _TrackedFlow, rng: random.Random
) -> None:
    """Send a packet of a flow through a random balancer, and check the baseline."""
    balancer_index = rng.randrange(len(bench.balancers))
    if not bench.reaches_owner(tracked_flow.flow, balancer_index):
        tracked_flow.is_broken = True
    if (
        _hashed_owner(bench, tracked_flow.flow.opening_id, balancer_index)
        != tracked_flow.baseline_owner
    ):
        tracked_flow.is_baseline_broken = True


def _hashed_owner(bench: RoutingBench, opening_id: bytes, balancer_index: int) -> bytes:
    """Return the companion that a balancer would choose by hashing alone."""
    candidates = bench.balancers[balancer_index].roster.candidates(LEDGER_NUMBER)
    return RendezvousRanking().rank(opening_id, candidates, 1)[0].packed


def _apply_random_change(bench: RoutingBench, rng: random.Random, number: int) -> None:
    """Apply one random change to the balancers or backend servers."""
    kind = rng.choice(["kill", "join", "leave", "return", "add", "full"])
    if kind == "kill" and len(bench.balancers) > 2:
        del bench.balancers[rng.randrange(len(bench.balancers))]
    elif kind == "join":
        bench.add_balancer()
    elif kind == "add":
        _add_server(bench)
    elif kind == "full":
        admission = rng.choice(list(bench.companions.values())).admission
        admission.accepts_flows = not admission.accepts_flows
    else:
        _change_out_state(bench, rng, is_out=kind == "leave")
    missed = [
        balancer
        for balancer in range(len(bench.balancers))
        if rng.random() < _MISSED_UPDATE_PROBABILITY
    ]
    bench.publish(missed)


def _add_server(bench: RoutingBench) -> None:
    """Add a new backend server."""
    number = len(bench.servers) + 1
    server = backend_server(number, zone=ZONES[number % 3])
    bench.servers[server.name] = server


def _change_out_state(bench: RoutingBench, rng: random.Random, is_out: bool) -> None:
    """Take a backend server out of service or back; at least half stay in service."""
    names = [
        name for name, server in bench.servers.items() if server.is_out is not is_out
    ]
    in_service = sum(not server.is_out for server in bench.servers.values())
    if not names or (is_out and in_service <= SERVERS // 2):
        return
    name = rng.choice(names)
    bench.servers[name] = attrs.evolve(bench.servers[name], is_out=is_out)

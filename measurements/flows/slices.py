"""Thousands of flows through the real routing slices, beside hashing alone."""

import random
from typing import Final

import attrs

from harness.builders import LEDGER_NUMBER, backend_server
from harness.routing_bench import ZONES, BenchFlow, RoutingBench, pick_ways
from pomelotrail_core.routing import RendezvousRanking

SERVERS: Final = 9
BALANCERS: Final = 4
CHANGES: Final = 60
_MISSED_UPDATE: Final = 0.3
_DUPLICATE: Final = 0.1


@attrs.define
class SliceFigures:
    """What the flows of the slices came to."""

    flows: int = 0
    broken: int = 0
    baseline_broken: int = 0
    changes: int = 0


@attrs.define
class _Tracked:
    """A flow, and where hashing alone would have opened it."""

    flow: BenchFlow
    baseline_owner: bytes
    is_broken: bool = False
    is_baseline_broken: bool = False


def measure_slices(seed: int, flows: int) -> SliceFigures:
    """Open flows between changes, and send a packet of each after every one."""
    rng = random.Random(seed)
    servers = [
        backend_server(number, zone=ZONES[number % 3])
        for number in range(1, SERVERS + 1)
    ]
    bench = RoutingBench(servers, BALANCERS)
    tracked: list[_Tracked] = []
    for number in range(CHANGES):
        _open(bench, tracked, rng, flows // CHANGES)
        _change(bench, rng, number)
        for each in tracked:
            _send(bench, each, rng)
    return SliceFigures(
        flows=len(tracked),
        broken=sum(each.is_broken for each in tracked),
        baseline_broken=sum(each.is_baseline_broken for each in tracked),
        changes=CHANGES,
    )


def _open(
    bench: RoutingBench, tracked: list[_Tracked], rng: random.Random, count: int
) -> None:
    """Open flows, some with a duplicated first packet."""
    for _ in range(count):
        opening_id = rng.randbytes(8)
        copies = 2 if rng.random() < _DUPLICATE else 1
        ways = pick_ways(rng, len(bench.balancers), copies)
        flow = bench.open_flow(opening_id, ways)
        if flow is not None:
            owner = _hashed_owner(bench, opening_id, ways[0])
            tracked.append(_Tracked(flow, owner))


def _send(bench: RoutingBench, each: _Tracked, rng: random.Random) -> None:
    """Send a packet of a flow through a random balancer, in both worlds."""
    way = rng.randrange(len(bench.balancers))
    if not bench.survives(each.flow, way):
        each.is_broken = True
    if _hashed_owner(bench, each.flow.opening_id, way) != each.baseline_owner:
        each.is_baseline_broken = True


def _hashed_owner(bench: RoutingBench, opening_id: bytes, way: int) -> bytes:
    """Return the companion that a balancer would choose by hashing alone."""
    candidates = bench.balancers[way].roster.candidates(LEDGER_NUMBER)
    return RendezvousRanking().rank(opening_id, candidates, 1)[0].packed


def _change(bench: RoutingBench, rng: random.Random, number: int) -> None:
    """Make one change: a kill, a join, a leaving, a return, or a full server."""
    kind = rng.choice(["kill", "join", "leave", "return", "add", "full"])
    if kind == "kill" and len(bench.balancers) > 2:
        del bench.balancers[rng.randrange(len(bench.balancers))]
    elif kind == "join":
        bench.join_balancer()
    elif kind == "add":
        _add_server(bench)
    elif kind == "full":
        room = rng.choice(list(bench.companions.values())).room
        room.is_open = not room.is_open
    else:
        _mark(bench, rng, is_out=kind == "leave")
    missed = [
        balancer
        for balancer in range(len(bench.balancers))
        if rng.random() < _MISSED_UPDATE
    ]
    bench.publish(missed)


def _add_server(bench: RoutingBench) -> None:
    """Let a new backend server join."""
    number = len(bench.servers) + 1
    server = backend_server(number, zone=ZONES[number % 3])
    bench.servers[server.name] = server


def _mark(bench: RoutingBench, rng: random.Random, is_out: bool) -> None:
    """Let a backend server leave or return; most stay in service."""
    names = [
        name for name, server in bench.servers.items() if server.is_out is not is_out
    ]
    in_service = sum(not server.is_out for server in bench.servers.values())
    if not names or (is_out and in_service <= SERVERS // 2):
        return
    name = rng.choice(names)
    bench.servers[name] = attrs.evolve(bench.servers[name], is_out=is_out)

"""Tests of learnt speeds with many balancers, on a model without a network."""

import asyncio
import statistics
import unittest
from collections.abc import Callable

from harness.flow_fleet import FlowFleet
from harness.speed_model import SpeedModel
from harness.virtual_time import run_in_virtual_time

_SERVERS = 16
_SLOW = range(4)


def _fixed(work_ms: float) -> Callable[[float], float]:
    """Return the processing time of a server that doesn't change."""
    return lambda _: work_ms


def _slowed(start_s: float, end_s: float) -> Callable[[float], float]:
    """Return the processing time of a server that is slowed five times."""
    return lambda ms: 65.0 if start_s <= ms / 1000 < end_s else 13.0


def _played(
    slow: Callable[[float], float],
    learns: bool,
    seconds: int,
    per_s: float = 400,
    **network: float,
) -> SpeedModel:
    """Return the model after some seconds with four other servers of sixteen."""
    others = [_fixed(13.0)] * (_SERVERS - len(_SLOW))
    model = SpeedModel([slow] * len(_SLOW) + others, learns, **network)
    model.run(per_s, seconds)
    return model


def _slow_share(model: SpeedModel, second: int) -> float:
    """Return the share of requests that the first servers got from a second on."""
    placed = model.placed_from(second)
    return sum(placed[index] for index in _SLOW) / placed.total()


class LearntSpeedTest(unittest.TestCase):
    """Eight balancers whose reports arrive 100 ms late."""

    def test_two_speeds(self) -> None:
        """Servers at less than half the speed get less, and callers wait for less."""
        by_count = _played(_fixed(29.0), learns=False, seconds=8)
        learnt = _played(_fixed(29.0), learns=True, seconds=8)
        self.assertLess(_slow_share(learnt, 3), _slow_share(by_count, 3) * 0.7)
        self.assertLess(
            statistics.mean(learnt.delays_ms), statistics.mean(by_count.delays_ms)
        )
        self.assertLess(
            statistics.quantiles(learnt.delays_ms, n=20)[-1],
            statistics.quantiles(by_count.delays_ms, n=20)[-1],
        )

    def test_equal_servers(self) -> None:
        """With equal servers, the delays are those of a placement by count."""
        by_count = _played(_fixed(13.0), learns=False, seconds=8)
        learnt = _played(_fixed(13.0), learns=True, seconds=8)
        self.assertLess(
            statistics.mean(learnt.delays_ms),
            statistics.mean(by_count.delays_ms) * 1.03,
        )

    def test_no_herd_and_no_swing(self) -> None:
        """At a steady load, the servers' shares don't swing from second to second."""
        model = _played(_fixed(29.0), learns=True, seconds=12)
        seconds = model.placed[3:12]
        fast = range(len(_SLOW), _SERVERS)
        for placed in seconds:
            mean = sum(placed[index] for index in fast) / len(fast)
            self.assertLess(max(placed[index] for index in fast), mean * 1.7)
        shares = [
            sum(placed[index] for index in _SLOW) / placed.total() for placed in seconds
        ]
        self.assertLess(max(shares) - min(shares), 0.12)

    def test_slowed_for_seconds(self) -> None:
        """Servers that are slowed for three seconds lose their share, and get it back.

        The last report ages for 24 seconds at most.
        """
        model = _played(_slowed(3, 6), learns=True, seconds=32)
        placed = model.placed
        during = sum(placed[5][index] for index in _SLOW)
        self.assertLess(during / placed[5].total(), 0.1)
        self.assertGreater(_slow_share(model, 30), 0.2)

    def test_overload_with_two_speeds(self) -> None:
        """When the fast servers don't suffice, the slow ones are used as well."""
        model = _played(_fixed(29.0), learns=True, seconds=6, per_s=950)
        self.assertGreater(_slow_share(model, 2), 0.08)

    def test_lost_and_late_reports(self) -> None:
        """With most reports lost and the others late, callers wait no longer."""
        network = {"lost": 0.7, "delay_ms": 800}
        by_count = _played(_fixed(29.0), learns=False, seconds=8, **network)
        learnt = _played(_fixed(29.0), learns=True, seconds=8, **network)
        self.assertLess(
            statistics.mean(learnt.delays_ms), statistics.mean(by_count.delays_ms)
        )


class FleetTest(unittest.TestCase):
    """Companions and a balancer with their messages, and ten servers."""

    def test_slow_server_gets_fewer_flows(self) -> None:
        """One of ten servers with one slot works five times as long."""

        async def async_run() -> list[int]:
            """Return the flows of the servers, the slow one first, once it is known."""
            fleet = FlowFleet(servers=10, slots=1)
            servers = list(fleet.servers.values())
            for server in servers:
                server.work_s = 0.02
            servers[0].work_s = 0.1
            before: list[int] = []
            tasks = []
            for number in range(1_200):
                if number == 600:
                    before = [len(server.opening_times) for server in servers]
                caller = fleet.caller()
                tasks.append(asyncio.create_task(caller.async_open_and_request(b"one")))
                await asyncio.sleep(0.01)
            after = [len(server.opening_times) for server in servers]
            return [end - start for start, end in zip(before, after, strict=True)]

        slow, *others = run_in_virtual_time(async_run())
        self.assertLess(slow, statistics.mean(others) / 4)
        self.assertLess(max(others), statistics.mean(others) * 1.7)

"""Living flows under any order of openings, requests, restarts and reuse."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from harness.changing_fleet import ChangingFleet
from harness.virtual_time import run_in_virtual_time

_BALANCERS = 2
_SERVERS = 2
_CALLERS = 4
_KINDS = ("register", "replace", "restart companion", "restart balancer")
_STEPS = st.tuples(st.sampled_from((*_KINDS, "read", "open", "ask")), st.integers(0, 1))


async def async_play(steps: list[tuple[str, int]]) -> int:
    """Return how many living flows were reset."""
    changing = ChangingFleet(_BALANCERS, _SERVERS, spare=2)
    for step, index in steps:
        match step:
            case "register":
                changing.register_server(_SERVERS + index)
            case "replace":
                changing.replace_server(index)
            case "restart companion":
                await changing.async_restart_companion(index)
            case "restart balancer":
                changing.restart_balancer(index)
            case "read":
                changing.read_store(index)
            case "open":
                await changing.async_open(index, _CALLERS)
            case "ask":
                await changing.async_ask(index)
    return changing.resets_of_living_flows


class LivingFlowTest(unittest.TestCase):
    """A flow that its backend server holds is never reset by us."""

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(_STEPS, min_size=4, max_size=14))
    def test_no_living_flow_is_reset(self, steps: list[tuple[str, int]]) -> None:
        """Whatever a balancer doesn't know yet."""
        self.assertEqual(run_in_virtual_time(async_play(steps)), 0)

    def test_new_server_known_to_one_balancer(self) -> None:
        """The order that broke a flow of a grown deployment."""
        steps = [
            ("register", 0),
            ("register", 1),
            ("read", 0),
            ("open", 0),
            ("open", 0),
            ("ask", 1),
        ]
        self.assertEqual(run_in_virtual_time(async_play(steps)), 0)

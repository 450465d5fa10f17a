"""Deliberately broken variants of the product, which the soak must detect.

The process of a role applies a variant before it starts::

    from soak.broken import apply
    apply("ignore-drain")
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final

_UNASKED_END_DELAY_S: Final = 1.0


def _ignore_drain() -> None:
    """Offer new flows to draining servers, which accept them."""
    _patch_candidates(lambda known, out: known.server.zone not in out)


def _ignore_zones() -> None:
    """Offer new flows to servers in zones that are out of service."""
    from pomelotrail_core.directory import ServerState

    ready = ServerState.READY
    _patch_candidates(lambda known, out: known.server.state is ready)


def _patch_candidates(is_candidate: Callable[[Any, frozenset[str]], bool]) -> None:
    """Replace the condition that selects candidates."""
    from pomelotrail_core.directory import Directory

    def candidates(self: Any, service: str) -> list[Any]:
        """Return the servers of a service that meet the condition."""
        return [
            known.server
            for known in self._servers._known.values()
            if known.server.service == service and is_candidate(known, self.zones_out)
        ]

    Directory.candidates = candidates


def _ignore_cold() -> None:
    """Disable the budget of cold servers."""
    from pomelotrail_companion.server_proxy.cold_budget import ColdBudget

    ColdBudget.allows = lambda self, per_s, now: True


def _keep_first_version() -> None:
    """Keep the first version of the configuration in force."""
    from pomelotrail_core.directory import Directory

    adopt = Directory._adopt

    def adopt_first(self: Any, configuration: Any) -> None:
        """Adopt a configuration only if none is in force."""
        if not self.version:
            adopt(self, configuration)

    Directory._adopt = adopt_first


def _reset_on_suspicion() -> None:
    """Reset a flow as soon as its likely owners deny it."""
    from pomelotrail_balancer.flow_balancing.lookups import Lookups

    def continue_lookup(self: Any, lookup: Any, possible_owners: Any, now: Any) -> None:
        """End the lookup without querying further owners."""
        self._pending.pop(lookup.flow)
        self._on_unowned(lookup.first_packet)

    Lookups._continue_lookup = continue_lookup


def _forget_owners() -> None:
    """Disable owner lookups, so a flow ends when its balancer loses its table."""
    from pomelotrail_balancer.flow_balancing.lookups import Lookups

    Lookups.look_up = lambda self, packet: None


def _end_unasked() -> None:
    """Let one balancer stop a second after each start, as if it had been told to."""
    from pomelotrail_core.lean_process import Role

    handle_signals = Role.handle_signals

    def handle_signals_and_stop(self: Any) -> None:
        """Stop the process later, unless it is another one."""
        handle_signals(self)
        if self._log._process == "entry-0":
            loop = asyncio.get_running_loop()
            loop.call_later(_UNASKED_END_DELAY_S, self.stop.set)

    Role.handle_signals = handle_signals_and_stop


def _keep_declining() -> None:
    """Decline all further flows by the expected wait once one was declined."""
    from pomelotrail_companion.opening_wait import AdmissionByWait

    decide = AdmissionByWait.decide
    declined = []

    def decide_or_decline(self: Any, flow: Any, backlog: Any) -> Any:
        """Return the first decision to decline a flow, if there was any."""
        decision = decide(self, flow, backlog)
        if not decision.is_accepted:
            declined.append(decision)
        return declined[0] if declined else decision

    AdmissionByWait.decide = decide_or_decline


VARIANTS: Final[dict[str, Callable[[], None]]] = {
    "ignore-drain": _ignore_drain,
    "ignore-zones": _ignore_zones,
    "ignore-cold": _ignore_cold,
    "keep-first-version": _keep_first_version,
    "reset-on-suspicion": _reset_on_suspicion,
    "forget-owners": _forget_owners,
    "end-unasked": _end_unasked,
    "keep-declining": _keep_declining,
}


def apply(name: str) -> None:
    """Apply a variant to this process."""
    VARIANTS[name]()

"""Deliberately broken variants of the product, which the soak must find.

A role's process applies one before it starts::

    from soak.broken import apply
    apply("ignore-drain")
"""

from collections.abc import Callable
from typing import Any, Final


def _ignore_drain() -> None:
    """Offer new flows to servers that leave, and take them."""
    _patch_directory(lambda known, out: known.server.zone not in out)


def _ignore_zones() -> None:
    """Offer new flows to servers in zones that are out of service."""
    from pomelotrail_core.directory import ServerState

    ready = ServerState.READY
    _patch_directory(lambda known, out: known.server.state is ready)


def _patch_directory(is_candidate: Callable[[Any, set[str]], bool]) -> None:
    """Choose candidates by another condition."""
    from pomelotrail_core.directory import Directory

    def candidates(self: Any, service: str) -> list[Any]:
        """Return the servers that the condition allows."""
        return [
            known.server
            for known in self._known.values()
            if known.server.service == service and is_candidate(known, self._zones_out)
        ]

    Directory.candidates = candidates


def _ignore_cold() -> None:
    """Give cold servers whatever comes."""
    from pomelotrail_companion.doorway.cold_budget import ColdBudget

    ColdBudget.allows = lambda self, per_s, now: True


def _keep_first_version() -> None:
    """Never put a second version of the configuration in force."""
    from pomelotrail_core.directory import Directory

    adopt = Directory._adopt

    def adopt_first(self: Any, configuration: Any) -> None:
        """Adopt only the first."""
        if not self.version:
            adopt(self, configuration)

    Directory._adopt = adopt_first


def _reset_on_suspicion() -> None:
    """Reset a flow that the likely owners don't know."""
    from pomelotrail_balancer.carrying.lookups import Lookups

    def go_on(self: Any, lookup: Any, holders: Any, may_send: bool, now: Any) -> None:
        """Give up at once."""
        self._pending.pop(lookup.flow)
        self._died(lookup.sought)

    Lookups._go_on = go_on


def _forget_owners() -> None:
    """Look up nothing, so that flows end with their balancer's table."""
    from pomelotrail_balancer.carrying.lookups import Lookups

    Lookups.seek = lambda self, packet: None


VARIANTS: Final[dict[str, Callable[[], None]]] = {
    "ignore-drain": _ignore_drain,
    "ignore-zones": _ignore_zones,
    "ignore-cold": _ignore_cold,
    "keep-first-version": _keep_first_version,
    "reset-on-suspicion": _reset_on_suspicion,
    "forget-owners": _forget_owners,
}


def apply(name: str) -> None:
    """Break this process."""
    VARIANTS[name]()

"""Selection of the balancers that monitor a companion."""

from collections.abc import Iterable, Sequence

import xxhash

from pomelotrail_core.configuration import Balancer

from .const import MONITORS_PER_COMPANION


def choose_monitors(name: str, balancers: Iterable[Balancer]) -> Sequence[Balancer]:
    """Return the monitors by rendezvous hashing, different zones first."""
    ranked = sorted(
        balancers,
        key=lambda each: xxhash.xxh3_64_intdigest((name + each.name).encode()),
    )
    best: dict[str, Balancer] = {}
    for balancer in ranked:
        best.setdefault(balancer.zone, balancer)
    first = list(best.values())
    rest = [balancer for balancer in ranked if balancer not in first]
    return [*first, *rest][:MONITORS_PER_COMPANION]

"""Random schedules of faults, each drawn from a seed."""

import enum

import attrs
import numpy as np

from .const import SERVICES, ZONES


class Kind(enum.Enum):
    """What is done to the fleet."""

    TERMINATE = "terminate"
    KILL = "kill"
    FREEZE = "freeze"
    RELOAD = "reload"
    HERD_KILL = "herd kill"
    ROLL = "roll"
    SERVER_CRASH = "server crash"
    SERVER_REPLACE = "server replace"
    ADDRESS_REUSE = "address reuse"
    LINK_CUT = "link cut"
    LINK_ONE_WAY = "link cut one way"
    LINK_DELAY = "link delay"
    LINK_LOSS = "link loss"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_SLOW = "store slow"
    STORE_FORGETS = "store forgets"
    STORE_RESETS = "store resets"
    STORE_REFUSES_SOME = "store refuses some"
    STORE_ONE_WAY = "store answers lost"
    ZONE_OUT = "zone out"
    CONFIGURATION = "configuration"
    SERVER_ADD = "server add"


@attrs.frozen
class Fault:
    """One fault: when, what, to which part of the fleet, and for how long.

    ``pick`` chooses the target, as a fraction of those that fit.
    """

    at: float
    kind: Kind
    pick: float
    for_s: float


def draw(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed; some come in series, and all may overlap."""
    generator = np.random.default_rng(seed)
    kinds = list(Kind)
    faults = []
    at = 0.5
    while at < seconds:
        kind = kinds[int(generator.integers(len(kinds)))]
        repeats = int(generator.integers(1, 4)) if generator.random() < 0.3 else 1
        for index in range(repeats):
            fault = Fault(
                at=round(at + index * float(generator.uniform(0.1, 0.8)), 3),
                kind=kind,
                pick=round(float(generator.random()), 3),
                for_s=round(float(generator.uniform(0.3, 3.0)), 3),
            )
            faults.append(fault)
        at += float(generator.exponential(0.7))
    return sorted(faults, key=lambda each: each.at)


def other_service(service: str) -> str:
    """Return the service that isn't the given one."""
    return SERVICES[1 - SERVICES.index(service)]


def zone_of(index: int) -> str:
    """Return the availability zone of the VM with a number."""
    return ZONES[index % len(ZONES)]
